package org.marjoramswitch.kernel.placement;

/** When callers that are refused are told to come back. */
public final class RetryAfterPolicy {
    /** Of the time that a caller has left, when it is told to come back: overload lasts for seconds. */
    private static final int RETRY_DIVISOR = 4;

    private static final long LEAST_RETRY_AFTER_MS = 500;
    private static final long MOST_RETRY_AFTER_MS = 4_000;
    /** Refused together, callers should not come back together; each comes within so much of its time. */
    private static final double RETRY_SPREAD = 0.5;

    private static final int SPREAD_PLACES = 16;

    private RetryAfterPolicy() {}

    static long afterMs(WaitingRequest request, PlacementPolicy policy, long nowMs) {
        return policy.has(Mechanism.RETRY_SPREAD)
                ? spreadAfterMs(request.endAtMs(), request.arrival(), nowMs)
                : meanAfterMs(request.endAtMs(), nowMs);
    }

    /**
     * @param endAtMs when the caller gives up
     * @param number of the request; successive ones are spread
     */
    public static long spreadAfterMs(long endAtMs, long number, long nowMs) {
        long meanMs = meanAfterMs(endAtMs, nowMs);
        double place = (double) (number % SPREAD_PLACES) / SPREAD_PLACES;
        return Math.round(meanMs * (1 - RETRY_SPREAD / 2 + RETRY_SPREAD * place));
    }

    private static long meanAfterMs(long endAtMs, long nowMs) {
        long partMs = (endAtMs - nowMs) / RETRY_DIVISOR;
        return Math.max(LEAST_RETRY_AFTER_MS, Math.min(MOST_RETRY_AFTER_MS, partMs));
    }
}
