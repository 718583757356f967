package org.marjoramswitch.kernel.placement;

/** Computes the retry delay of rejected requests. */
public final class RetryAfterPolicy {
    /** The delay is this fraction of the caller's remaining time, since overload lasts for seconds. */
    private static final int DIVISOR = 4;

    private static final long MIN_RETRY_AFTER_MS = 500;
    private static final long MAX_RETRY_AFTER_MS = 4_000;
    /**
     * Width of the range around the mean delay over which delays are spread, so that requests rejected together do not
     * return together.
     */
    private static final double SPREAD = 0.5;

    private static final int SPREAD_STEPS = 16;

    private RetryAfterPolicy() {}

    static long afterMs(WaitingRequest request, PlacementPolicy policy, long nowMs) {
        return policy.has(Mechanism.RETRY_SPREAD)
                ? spreadAfterMs(request.deadlineMs(), request.arrival(), nowMs)
                : meanAfterMs(request.deadlineMs(), nowMs);
    }

    /**
     * @param deadlineMs when the caller times out
     * @param sequence sequence number of the request; consecutive numbers get different delays
     */
    public static long spreadAfterMs(long deadlineMs, long sequence, long nowMs) {
        long meanMs = meanAfterMs(deadlineMs, nowMs);
        double step = (double) (sequence % SPREAD_STEPS) / SPREAD_STEPS;
        return Math.round(meanMs * (1 - SPREAD / 2 + SPREAD * step));
    }

    private static long meanAfterMs(long deadlineMs, long nowMs) {
        long fractionMs = (deadlineMs - nowMs) / DIVISOR;
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, fractionMs));
    }
}
