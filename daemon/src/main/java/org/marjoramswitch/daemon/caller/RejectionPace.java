package org.marjoramswitch.daemon.caller;

/**
 * Limits the connections that the accepting thread rejects to parts of the processor; the rest is for requests that are
 * served. Not thread-safe.
 */
final class RejectionPace {
    /** Callers abandon a request that was not read after a second or a third of their time, so they are told before. */
    static final long MAX_UNREAD_MS = 500;

    /** Estimated processor time of a rejection. */
    private static final double REJECTION_US = 125;

    private static final double SHARE = 0.3;
    /** As {@link #SHARE}, while rejections are late. */
    private static final double LATE_SHARE = 0.6;

    private static final double BURST_MS = 20;

    private final RateLimit inTime;
    private final RateLimit late;

    private RejectionPace(int processorMillicores) {
        this.inTime = limit(SHARE, processorMillicores);
        this.late = limit(LATE_SHARE - SHARE, processorMillicores);
    }

    /** @param processorMillicores the instance's processor limit */
    static RejectionPace of(int processorMillicores) {
        return new RejectionPace(processorMillicores);
    }

    private static RateLimit limit(double share, int processorMillicores) {
        return new RateLimit(share * processorMillicores / REJECTION_US, BURST_MS);
    }

    /**
     * Whether a connection may be rejected now, which is then counted.
     *
     * @param longestWaitMs how long the oldest connection has waited
     * @param maxWaitMs how long connections should wait
     */
    boolean mayReject(long longestWaitMs, long maxWaitMs, long nowMs) {
        return inTime.take(nowMs)
                || (longestWaitMs >= 2 * maxWaitMs && late.take(nowMs))
                || longestWaitMs >= MAX_UNREAD_MS;
    }
}
