package org.marjoramswitch.kernel.entry;

/** Estimates how fast a customer's queue drains at this entry, to derive the Retry-After of rejected requests. */
final class DrainRate {
    /** Weight of the newest interval in the exponentially weighted moving average. */
    private static final double SMOOTHING_FACTOR = 0.2;

    private static final double INITIAL_INTERVAL_MS = 200;
    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private double intervalMs = INITIAL_INTERVAL_MS;
    private long lastStartMs = -1;

    /** Records that a request of the customer was dispatched. */
    void requestStarted(long nowMs) {
        if (lastStartMs >= 0) {
            intervalMs += SMOOTHING_FACTOR * (nowMs - lastStartMs - intervalMs);
        }
        lastStartMs = nowMs;
    }

    /** The estimated time until half of {@code waiting} requests have left the queue, limited to a fixed range. */
    long retryAfterMs(int waiting) {
        long halfDrainedMs = Math.round(waiting * intervalMs / 2);
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, halfDrainedMs));
    }
}
