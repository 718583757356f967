package org.marjoramswitch.daemon.exchange;

import java.util.concurrent.TimeUnit;

/**
 * Until when a caller waits for its response: until its deadline and, if it has a progress timeout, no longer than that
 * without receiving a part of the response. Times are those of {@link System#nanoTime}. Thread-safe.
 */
public final class CallerWait {
    private static final long NONE = 0;

    private final long deadlineNs;
    private final long progressTimeoutNs;
    private volatile long progressedNs;
    private volatile boolean progressed;

    private CallerWait(long startedNs, long deadlineNs, long progressTimeoutNs) {
        this.deadlineNs = deadlineNs;
        this.progressTimeoutNs = progressTimeoutNs;
        this.progressedNs = startedNs;
    }

    /** Creates the wait of a caller without timeouts. */
    public static CallerWait unlimited() {
        return new CallerWait(NONE, NONE, NONE);
    }

    /**
     * Creates the wait of a caller whose request was read now.
     *
     * @param timeoutMs time until the caller's deadline
     * @param progressTimeoutMs how long the caller waits without a part of the response; 0 if until its deadline
     */
    public static CallerWait starting(long nowNs, long timeoutMs, long progressTimeoutMs) {
        return new CallerWait(
                nowNs,
                nowNs + TimeUnit.MILLISECONDS.toNanos(timeoutMs),
                TimeUnit.MILLISECONDS.toNanos(progressTimeoutMs));
    }

    /** A part of the response was written to the caller. */
    public void progressed(long nowNs) {
        progressedNs = nowNs;
        progressed = true;
    }

    /** Whether a part of the response was written to the caller. */
    public boolean hasProgressed() {
        return progressed;
    }

    /** Time since a part of the response was last written to the caller, or since the start. */
    public long sinceProgressMs(long nowNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs - progressedNs);
    }

    /** Whether the caller has given up. */
    public boolean isOver(long nowNs) {
        boolean pastDeadline = deadlineNs != NONE && nowNs - deadlineNs >= 0;
        return pastDeadline || (progressTimeoutNs != NONE && nowNs - progressedNs >= progressTimeoutNs);
    }

    /**
     * Time until the caller's deadline, at least 1 ms; 0 if it has none. The progress timeout does not count, since it
     * starts again with each part of the response.
     */
    public long untilDeadlineMs(long nowNs) {
        return deadlineNs == NONE ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNs - nowNs));
    }
}
