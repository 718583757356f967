package org.marjoramswitch.kernel.entry;

/**
 * The longest of the durations that ended recently, over a window of between {@value #WINDOW_MS} ms and twice as much.
 * Constant memory and time.
 */
final class RecentDurations {
    static final long NONE = -1;
    static final long WINDOW_MS = 30_000;

    private long windowStartMs = Long.MIN_VALUE / 2;
    private long currentMs = NONE;
    private long previousMs = NONE;

    private RecentDurations() {}

    static RecentDurations create() {
        return new RecentDurations();
    }

    void record(long durationMs, long nowMs) {
        advance(nowMs);
        currentMs = Math.max(currentMs, durationMs);
    }

    /** Returns the longest recent duration, or {@link #NONE}. */
    long longestMs(long nowMs) {
        advance(nowMs);
        return Math.max(currentMs, previousMs);
    }

    private void advance(long nowMs) {
        long elapsedMs = nowMs - windowStartMs;
        if (elapsedMs < WINDOW_MS) {
            return;
        }
        previousMs = elapsedMs < 2 * WINDOW_MS ? currentMs : NONE;
        currentMs = NONE;
        windowStartMs = nowMs;
    }
}
