package org.marjoramswitch.kernel.liveness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Detects peers that send no messages while a response is expected from them.
 *
 * <p>A paused process keeps its sockets open, and an established connection can go silent for good while new ones work.
 * Until the membership declares the instance dead, an entry's requests would wait for its grants although slots are
 * free, and an arbiter would grant slots to requests that never start. A peer from which no message arrived for {@value
 * #PROBE_AFTER_MS} ms is therefore probed, and after {@value #SILENT_AFTER_MS} ms without any message it counts as
 * silent. Other peers are not probed: heartbeats on every link were a third of the control traffic in bytes at 350
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

    /** Records that a message arrived from the peer. */
    public void messageReceived(InstanceId peer, long nowMs) {
        Contact contact = contacts.get(peer);
        if (contact != null) {
            contact.lastMessageMs = nowMs;
        }
    }

    /**
     * Probes awaited peers where needed and returns those that have been silent for too long. Peers that are not in
     * {@code awaited} are no longer observed; the time of a newly awaited one starts now.
     */
    public List<InstanceId> silentPeers(Collection<InstanceId> awaited, long nowMs, Consumer<InstanceId> probe) {
        contacts.keySet().retainAll(awaited);
        List<InstanceId> silent = new ArrayList<>();
        for (InstanceId peer : awaited) {
            Contact contact = contacts.computeIfAbsent(peer, missing -> new Contact(nowMs));
            if (nowMs - contact.lastMessageMs >= SILENT_AFTER_MS) {
                silent.add(peer);
            } else if (nowMs - Math.max(contact.lastMessageMs, contact.lastProbeMs) >= PROBE_AFTER_MS) {
                contact.lastProbeMs = nowMs;
                probe.accept(peer);
            }
        }
        return silent;
    }

    private static final class Contact {
        private long lastMessageMs;
        private long lastProbeMs;

        private Contact(long nowMs) {
            lastMessageMs = nowMs;
            lastProbeMs = nowMs;
        }
    }
}
