package org.marjoramswitch.kernel.membership;

/**
 * The times and bounds of the failure detector.
 *
 * @param probeIntervalMs one member is probed per interval; a probe without an answer by its end raises suspicion
 * @param directTimeoutMs after this the probe is repeated through other members
 * @param indirectProbes how many members repeat it
 * @param suspicionMs how long a suspected member has to show itself in a fleet of ten; grows with the logarithm
 * @param maxTickGapMs a longer time between two ticks means that this instance was paused itself
 * @param contactIntervalMs how often one instance that is not held alive is tried
 * @param exchangeIntervalMs how often the view is compared with another member's
 * @param deadRetentionMs how long a dead member is remembered and tried
 * @param flapMemoryMs how long a death makes later suspicions of the member wait longer, renewed by each suspicion
 * @param deathGossipMs how long a death is told when views are compared
 * @param retransmitFactor an update is sent this many times one more than the digits of the fleet's size
 * @param maxUpdateBytes the most bytes of updates in one datagram
 */
public record FailureDetectorOptions(
        long probeIntervalMs,
        long directTimeoutMs,
        int indirectProbes,
        long suspicionMs,
        long maxTickGapMs,
        long contactIntervalMs,
        long exchangeIntervalMs,
        long deadRetentionMs,
        long flapMemoryMs,
        long deathGossipMs,
        int retransmitFactor,
        int maxUpdateBytes) {
    public static final FailureDetectorOptions DEFAULTS =
            new FailureDetectorOptions(300, 100, 3, 800, 250, 1_000, 5_000, 600_000, 60_000, 30_000, 4, 500);

    private static final double FLEET_OF_UNIT_SUSPICION = 10;

    /** How long a suspected member has in a fleet of this size. */
    long suspicionMs(int members) {
        double factor = Math.log(members) / Math.log(FLEET_OF_UNIT_SUSPICION);
        return Math.round(suspicionMs * Math.max(1, factor));
    }

    /** How often an update is sent in a fleet of this size. */
    int retransmissions(int members) {
        return retransmitFactor * (1 + (int) Math.ceil(Math.log10(members + 1.0)));
    }
}
