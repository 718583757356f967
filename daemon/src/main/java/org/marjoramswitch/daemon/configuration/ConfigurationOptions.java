package org.marjoramswitch.daemon.configuration;

/**
 * Timing and fan-out of the configuration loop.
 *
 * @param acceptorsPerDataCentre the number of instances per data centre that watch the drafts
 * @param pollMs the mean interval at which an acceptor reads the head, in case its watch is silent
 * @param takeoverDelayMs an acceptor of rank n waits n times this delay before it processes a change, so that acceptors
 *     of a lower rank can process it first
 * @param repairAfterMs how long a known generation must be missing in the store before the store counts as restored
 *     from a backup
 * @param callTimeoutMs how long a store call may take before the round is restarted; longer than the store client's
 *     own timeout
 * @param retryMinMs the delay after the first failed round; doubled with each further failure
 * @param retryMaxMs the maximum of that delay
 * @param gossipPartners the number of peers that an instance selects as gossip partners
 * @param announceMs the mean interval at which an instance announces its generation to one peer
 * @param queryTimeoutMs the mean time that a peer may take to send bodies before another peer is queried
 */
public record ConfigurationOptions(
        int acceptorsPerDataCentre,
        long pollMs,
        long takeoverDelayMs,
        long repairAfterMs,
        long callTimeoutMs,
        long retryMinMs,
        long retryMaxMs,
        int gossipPartners,
        long announceMs,
        long queryTimeoutMs) {
    /** With these values a change is active everywhere in well under 13 s, even if a watch is silent. */
    public static final ConfigurationOptions DEFAULT =
            new ConfigurationOptions(2, 4_000, 250, 4_000, 8_000, 200, 4_000, 3, 3_000, 1_000);
}
