package org.marjoramswitch.kernel.placement;

import org.marjoramswitch.kernel.settings.ColdStart;

/**
 * Limits the rate at which an arbiter sends requests to a target in its cold start. Such a target crashes at a rate well
 * above the one that it accepts.
 *
 * <p>The rate is that of the target times the arbiter's share, with a small burst. Starts before the target was known to
 * be cold count too: a target may turn cold after a second of full load.
 *
 * <p>Not thread-safe.
 */
final class ColdStartLimiter {
    private static final double MS_PER_SECOND = 1_000;
    /**
     * How much earlier than evenly spaced a request may start: a burst of three at the full rate of a typical target,
     * and none at a small share of it.
     */
    private static final double BURST_MS = 150;

    /** When the next request would start if all had been evenly spaced. */
    private double nextStartMs;

    private ColdStartLimiter(double nextStartMs) {
        this.nextStartMs = nextStartMs;
    }

    /** Creates a limiter for a target to which no other arbiter has sent requests. */
    static ColdStartLimiter create() {
        return new ColdStartLimiter(0);
    }

    /** Creates a limiter for a target to which another arbiter may have sent requests until now. */
    static ColdStartLimiter afterOtherArbiter(long nowMs) {
        return new ColdStartLimiter(nowMs + MS_PER_SECOND);
    }

    /**
     * Time until the target may receive a request; 0 if it may receive one now.
     *
     * @param share the share of the target's rate that this arbiter may use
     */
    long waitMs(ColdStart coldStart, double share, long nowMs) {
        if (!coldStart.isLimited(nowMs)) {
            return 0;
        }
        return Math.max(0, (long) Math.ceil(nextStartMs - BURST_MS - nowMs));
    }

    /** Records the start of a request. */
    void started(ColdStart coldStart, double share, long nowMs) {
        if (coldStart.requestsPerSecond() <= 0) {
            return;
        }
        double next = Math.max(nextStartMs, nowMs) + intervalMs(coldStart, share);
        // A warm target receives more than its cold rate; without a bound it would be blocked for long when it turns
        // cold. Starts of more than a second ago are of no consequence.
        nextStartMs = coldStart.isLimited(nowMs) ? next : Math.min(next, nowMs + MS_PER_SECOND);
    }

    private static double intervalMs(ColdStart coldStart, double share) {
        return MS_PER_SECOND / (coldStart.requestsPerSecond() * share);
    }
}
