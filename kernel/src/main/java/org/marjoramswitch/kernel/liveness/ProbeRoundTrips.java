package org.marjoramswitch.kernel.liveness;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Numbers probes and detects whether a peer replies to them in time.
 *
 * <p>A message alone does not show that a peer can be used: one that is seconds behind still sends replies to what it
 * received seconds ago. Only the reply to the latest probe counts, and only if it arrives soon after the probe was
 * sent.
 */
public final class ProbeRoundTrips {
    /** Half of the time after which a peer counts as silent, so that a peer does not alternate between the two states. */
    private static final long MAX_TIMELY_MS = SilentPeerDetector.SILENT_AFTER_MS / 2;

    private final Map<InstanceId, SentProbe> latestProbes = new TreeMap<>();
    private long lastNumber;

    private ProbeRoundTrips() {}

    public static ProbeRoundTrips create() {
        return new ProbeRoundTrips();
    }

    /** Records that a probe is sent to the peer now; returns its number. */
    public long sent(InstanceId peer, long nowMs) {
        lastNumber++;
        latestProbes.put(peer, new SentProbe(lastNumber, nowMs));
        return lastNumber;
    }

    /**
     * Whether a reply is in time.
     *
     * @param receivedAtMs when the reply arrived at this instance, which may have processed it later
     */
    public boolean isTimely(InstanceId peer, long number, long receivedAtMs) {
        SentProbe latest = latestProbes.get(peer);
        return latest != null && latest.number == number && receivedAtMs - latest.sentAtMs <= MAX_TIMELY_MS;
    }

    /** Discards what is known of all other peers. */
    public void retainAll(Collection<InstanceId> peers) {
        latestProbes.keySet().retainAll(peers);
    }

    private record SentProbe(long number, long sentAtMs) {}
}
