package org.marjoramswitch.kernel.membership;

/**
 * Timeouts, intervals and limits of the failure detector.
 *
 * @param probeIntervalMs one member is probed per interval; a probe not acknowledged by its end raises a suspicion
 * @param directTimeoutMs time after which the probe is repeated through other members
 * @param indirectProbes number of members that repeat it
 * @param suspicionMs time that a suspect has to refute the suspicion in a fleet of ten; grows with the logarithm
 * @param maxTickGapMs a longer time between two ticks means that this instance itself was paused
 * @param reconnectIntervalMs interval at which one instance that is not alive is pinged
 * @param exchangeIntervalMs interval at which the view is compared with another member's
 * @param deadRetentionMs time for which a dead member is remembered and pinged
 * @param flapMemoryMs time for which a death lengthens later suspicions of the member; renewed by each suspicion
 * @param deathGossipMs time for which a death is included, as a suspicion, when views are exchanged
 * @param retransmitFactor multiplied by one more than the digits of the fleet's size, the number of times an update is
 *     sent
 * @param maxUpdateBytes maximum bytes of updates in one datagram
 */
public record FailureDetectorOptions(
        long probeIntervalMs,
        long directTimeoutMs,
        int indirectProbes,
        long suspicionMs,
        long maxTickGapMs,
        long reconnectIntervalMs,
        long exchangeIntervalMs,
        long deadRetentionMs,
        long flapMemoryMs,
        long deathGossipMs,
        int retransmitFactor,
        int maxUpdateBytes) {
    public static final FailureDetectorOptions DEFAULTS =
            new FailureDetectorOptions(300, 100, 3, 800, 250, 1_000, 5_000, 600_000, 60_000, 30_000, 4, 500);

    private static final double BASE_FLEET_SIZE = 10;

    /** Returns the suspicion timeout in a fleet of this size. */
    long suspicionMs(int members) {
        double factor = Math.log(members) / Math.log(BASE_FLEET_SIZE);
        return Math.round(suspicionMs * Math.max(1, factor));
    }

    /** Returns how many times an update is sent in a fleet of this size. */
    int retransmissions(int members) {
        return retransmitFactor * (1 + (int) Math.ceil(Math.log10(members + 1.0)));
    }
}
