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
 * Keeps the newest version of the routed settings active: one document under one key of the key-value store, accepted
 * by the operators before it is written. It is not checked for conflicts between teams here; the stored document is
 * active as it is.
 *
 * <p>Each instance watches the key. An instance that cannot read the store learns of a newer version from membership
 * datagrams and fetches the document from the peer that announced it, so that a partial outage of the store does not
 * leave some instances with revoked keys and old routes. Versions only increase: an older one from any source is
 * ignored.
 *
 * <p>There is no agreement between peers: they forward the stored document unchanged.
 */
public final class RoutedSettingsFollower implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(RoutedSettingsFollower.class);
    /** Time after which another peer may be queried. */
    private static final long QUERY_TIMEOUT_MS = 400;
    /** Delay between two reads, and after a failed one; settings must become active within two seconds. */
    private static final long READ_PAUSE_MS = 250;
    /** Name of the document in peer messages. */
    private static final String DOCUMENT = "operator";

    private final String key;
    private final Decoder decoder;
    private final PeerSender peers;
    private final Consumer<RoutedSettings> listener;
    private final LongSupplier clockMs;
    private @Nullable PrefixFollower prefixFollower;
    private RoutedSettings active = RoutedSettings.NONE;
    private String document = "";
    private long queriedAtMs = Long.MIN_VALUE / 2;
    private boolean unreadable;

    private RoutedSettingsFollower(
            String key, Decoder decoder, PeerSender peers, Consumer<RoutedSettings> listener, LongSupplier clockMs) {
        this.key = key;
        this.decoder = decoder;
        this.peers = peers;
        this.listener = listener;
        this.clockMs = clockMs;
    }

    /** Decodes a document in the format of the platform. */
    @FunctionalInterface
    public interface Decoder {
        /** @throws IllegalArgumentException if the document is invalid, with the reason */
        RoutedSettings decode(String document);
    }

    /**
     * Where the document is stored.
     *
     * @param prefix the followed prefix, which contains the key and the operators' other entries
     * @param key the document's key
     * @param otherEntries receives all entries of the prefix, so that they need no watch of their own
     */
    public record Source(String prefix, String key, PrefixFollower.Listener otherEntries) {}

    /** @param listener receives each version that becomes active, in order */
    public static RoutedSettingsFollower start(
            KeyValueStore store,
            Source source,
            Decoder decoder,
            PeerSender peers,
            Consumer<RoutedSettings> listener,
            LongSupplier clockMs,
            MetricRegistry metrics) {
        RoutedSettingsFollower settingsFollower =
                new RoutedSettingsFollower(source.key(), decoder, peers, listener, clockMs);
        metrics.gauge("configuration.version", () -> settingsFollower::version);
        settingsFollower.prefixFollower = PrefixFollower.start(
                store, source.prefix(), READ_PAUSE_MS, clockMs.getAsLong(), new PrefixFollower.Listener() {
                    @Override
                    public void onEntries(Collection<Entry> entries, long revision) {
                        // First, so that an instance that starts during an evacuation knows it before its first
                        // request.
                        source.otherEntries().onEntries(entries, revision);
                        settingsFollower.onEntries(entries);
                    }

                    @Override
                    public void onPeerEntries(Collection<Entry> entries, long revision) {
                        source.otherEntries().onPeerEntries(entries, revision);
                        settingsFollower.adopt(entries);
                    }

                    @Override
                    public void onUnreadable(String reason) {
                        settingsFollower.onUnreadable(reason);
                    }
                });
        return settingsFollower;
    }

    /** The active version, 0 if there is none. */
    public synchronized long version() {
        return active.version();
    }

    /** Handles a peer's message about settings; returns false for any other message. */
    public boolean onMessage(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.SettingsQuery query) {
            reply(from, query.afterGeneration());
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

    /** Queries the peer if it announces a newer version and no query was sent recently. */
    public void onVersionAnnounced(InstanceId peer, long version) {
        synchronized (this) {
            long nowMs = clockMs.getAsLong();
            if (version <= active.version() || nowMs - queriedAtMs < QUERY_TIMEOUT_MS) {
                return;
            }
            queriedAtMs = nowMs;
        }
        peers.send(peer, new PeerMessage.SettingsQuery(version()));
    }

    @Override
    public void close() {
        if (prefixFollower != null) {
            prefixFollower.close();
        }
    }

    private void onEntries(Collection<Entry> entries) {
        if (unreadable) {
            unreadable = false;
            LOG.info("settings_readable", "key", key);
        }
        adopt(entries);
    }

    private void adopt(Collection<Entry> entries) {
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

    private synchronized void reply(InstanceId from, long afterVersion) {
        if (active.version() > afterVersion) {
            Map<String, String> bodies = new TreeMap<>();
            bodies.put(DOCUMENT, document);
            peers.send(from, new PeerMessage.SettingsBodies(active.version(), "", bodies));
        }
    }

    private synchronized void adopt(String newDocument, String source) {
        if (newDocument.equals(document)) {
            return;
        }
        RoutedSettings decoded;
        try {
            decoded = decoder.decode(newDocument);
        } catch (IllegalArgumentException invalid) {
            LOG.error(
                    "settings_ignored",
                    "error",
                    ErrorType.SETTINGS_INVALID.number(),
                    "source",
                    source,
                    "reason",
                    invalid);
            return;
        }
        if (decoded.version() <= active.version()) {
            LOG.info("settings_older", "version", decoded.version(), "inForce", active.version(), "source", source);
            return;
        }
        LOG.info(
                "settings_in_force",
                "version",
                decoded.version(),
                "former",
                active.version(),
                "routes",
                decoded.routes().size(),
                "customers",
                decoded.customers().size(),
                "source",
                source);
        active = decoded;
        document = newDocument;
        listener.accept(decoded);
    }
}
