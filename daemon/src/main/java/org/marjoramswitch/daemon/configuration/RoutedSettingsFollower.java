package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.PrefixFollower;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Keeps the newest version of settings in force that were accepted before they reached the platform's service: one
 * document under one key. Nothing is checked against other teams' here; what stands there is in force.
 *
 * <p>Each instance watches the key. One that the service turns away learns of a newer version from the membership's
 * datagrams and takes the document from the peer that announced it, so that the service's outage for some of the
 * instances does not leave them with revoked keys and old routes. Versions only grow: an older one, from whomever, is
 * passed over.
 *
 * <p>The peers agree on nothing: they pass on what the service has accepted, as it stood there.
 */
public final class RoutedSettingsFollower implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(RoutedSettingsFollower.class);
    /** After it another peer may be asked. */
    private static final long QUERY_TIMEOUT_MS = 400;
    /** The pause between two readings, and after one that failed; settings have to be in force within two seconds. */
    private static final long READ_PAUSE_MS = 250;
    /** The one document's name in messages between peers. */
    private static final String DOCUMENT = "operator";

    private final String key;
    private final Decoder decoder;
    private final PeerSender peers;
    private final Consumer<RoutedSettings> listener;
    private final LongSupplier clockMs;
    private @Nullable PrefixFollower follower;
    private RoutedSettings inForce = RoutedSettings.NONE;
    private String document = "";
    private long askedAtMs = Long.MIN_VALUE / 2;
    private boolean unreadable;

    private RoutedSettingsFollower(
            String key, Decoder decoder, PeerSender peers, Consumer<RoutedSettings> listener, LongSupplier clockMs) {
        this.key = key;
        this.decoder = decoder;
        this.peers = peers;
        this.listener = listener;
        this.clockMs = clockMs;
    }

    /** Reads a document of the platform's own format. */
    @FunctionalInterface
    public interface Decoder {
        /** @throws IllegalArgumentException where it cannot be read, with the reason */
        RoutedSettings decode(String document);
    }

    /** @param listener told of each version that comes into force, in order */
    public static RoutedSettingsFollower start(
            KeyValueStore store,
            String key,
            Decoder decoder,
            PeerSender peers,
            Consumer<RoutedSettings> listener,
            LongSupplier clockMs,
            MetricRegistry metrics) {
        RoutedSettingsFollower duty = new RoutedSettingsFollower(key, decoder, peers, listener, clockMs);
        metrics.gauge("configuration.version", () -> duty::version);
        duty.follower =
                PrefixFollower.start(store, key, READ_PAUSE_MS, clockMs.getAsLong(), new PrefixFollower.Listener() {
                    @Override
                    public void onEntries(Collection<Entry> entries) {
                        duty.onEntries(entries);
                    }

                    @Override
                    public void onUnreadable(String reason) {
                        duty.onUnreadable(reason);
                    }
                });
        return duty;
    }

    /** The version in force, 0 where there is none. */
    public synchronized long version() {
        return inForce.version();
    }

    /** Takes a peer's message about settings; false for any other. */
    public boolean onMessage(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.SettingsQuery query) {
            answer(from, query.afterGeneration());
        } else if (message instanceof PeerMessage.SettingsBodies bodies) {
            String body = bodies.bodyByTeam().get(DOCUMENT);
            if (body != null) {
                adopt(body, from.toString());
            }
        } else {
            return message instanceof PeerMessage.SettingsHead;
        }
        return true;
    }

    /** A peer announces that it holds this version. */
    public void onVersionAnnounced(InstanceId peer, long version) {
        synchronized (this) {
            long nowMs = clockMs.getAsLong();
            if (version <= inForce.version() || nowMs - askedAtMs < QUERY_TIMEOUT_MS) {
                return;
            }
            askedAtMs = nowMs;
        }
        peers.send(peer, new PeerMessage.SettingsQuery(version()));
    }

    @Override
    public void close() {
        if (follower != null) {
            follower.close();
        }
    }

    private void onEntries(Collection<Entry> entries) {
        if (unreadable) {
            unreadable = false;
            LOG.info("settings_readable", "key", key);
        }
        for (Entry entry : entries) {
            if (entry.key().equals(key)) {
                adopt(entry.value(), "store");
            }
        }
    }

    private void onUnreadable(String reason) {
        if (!unreadable) {
            unreadable = true;
            LOG.warn("settings_unreadable", "type", ErrorType.PLATFORM_UNAVAILABLE, "key", key, "reason", reason);
        }
    }

    private synchronized void answer(InstanceId from, long afterVersion) {
        if (inForce.version() > afterVersion) {
            Map<String, String> bodies = new TreeMap<>();
            bodies.put(DOCUMENT, document);
            peers.send(from, new PeerMessage.SettingsBodies(inForce.version(), "", bodies));
        }
    }

    private synchronized void adopt(String newDocument, String source) {
        if (newDocument.equals(document)) {
            return;
        }
        RoutedSettings decoded;
        try {
            decoded = decoder.decode(newDocument);
        } catch (IllegalArgumentException fault) {
            LOG.error(
                    "settings_ignored",
                    "error",
                    ErrorType.SETTINGS_INVALID.number(),
                    "source",
                    source,
                    "reason",
                    fault);
            return;
        }
        if (decoded.version() <= inForce.version()) {
            LOG.info("settings_older", "version", decoded.version(), "inForce", inForce.version(), "source", source);
            return;
        }
        LOG.info(
                "settings_in_force",
                "version",
                decoded.version(),
                "former",
                inForce.version(),
                "routes",
                decoded.routes().size(),
                "customers",
                decoded.customers().size(),
                "source",
                source);
        inForce = decoded;
        document = newDocument;
        listener.accept(decoded);
    }
}
