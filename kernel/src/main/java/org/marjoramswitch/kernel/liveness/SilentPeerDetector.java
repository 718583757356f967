package org.marjoramswitch.kernel.liveness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Notices peers that do not answer while something is awaited from them.
 *
 * <p>A paused process keeps its sockets open, and a connection can go silent for good while new ones work. Until the
 * membership agrees that the instance is dead, an entry's requests would wait for its grants beside free slots, and an
 * arbiter would grant slots to requests that never start. So a peer from which nothing came for {@value
 * #PROBE_AFTER_MS} ms is probed, and after {@value #SILENT_AFTER_MS} ms without any message it counts as silent. Peers
 * of which nothing is awaited are not probed: heartbeats on every link were a third of the control bytes at 350
 * instances.
 */
public final class SilentPeerDetector {
    static final long PROBE_AFTER_MS = 130;
    static final long SILENT_AFTER_MS = 400;

    private final Map<InstanceId, Contact> contacts = new TreeMap<>();

    private SilentPeerDetector() {}

    public static SilentPeerDetector create() {
        return new SilentPeerDetector();
    }

    /** Something came from the peer. */
    public void messageReceived(InstanceId peer, long nowMs) {
        Contact contact = contacts.get(peer);
        if (contact != null) {
            contact.heardMs = nowMs;
        }
    }

    /**
     * Watches just these peers and returns the ones that have been silent too long. One that is watched anew has its
     * full time from now on.
     */
    public List<InstanceId> silentPeers(Collection<InstanceId> awaited, long nowMs, Consumer<InstanceId> probe) {
        contacts.keySet().retainAll(awaited);
        List<InstanceId> silent = new ArrayList<>();
        for (InstanceId peer : awaited) {
            Contact contact = contacts.computeIfAbsent(peer, missing -> new Contact(nowMs));
            if (nowMs - contact.heardMs >= SILENT_AFTER_MS) {
                silent.add(peer);
            } else if (nowMs - Math.max(contact.heardMs, contact.probedMs) >= PROBE_AFTER_MS) {
                contact.probedMs = nowMs;
                probe.accept(peer);
            }
        }
        return silent;
    }

    private static final class Contact {
        private long heardMs;
        private long probedMs;

        private Contact(long nowMs) {
            heardMs = nowMs;
            probedMs = nowMs;
        }
    }
}
