package org.marjoramswitch.kernel.entry;

/**
 * The longest of the durations that ended recently, over a window of between {@value #WINDOW_MS} ms and twice as much.
 * Durations of what was broken off are lower bounds: they count only beside complete ones. Constant memory and time.
 */
final class RecentDurations {
    static final long NONE = -1;
    static final long WINDOW_MS = 30_000;

    private long windowStartMs = Long.MIN_VALUE / 2;
    private long currentMs = NONE;
    private long previousMs = NONE;
    private int currentComplete;
    private int previousComplete;

    private RecentDurations() {}

    static RecentDurations create() {
        return new RecentDurations();
    }

    /** @param complete whether the duration is not only a lower bound */
    void record(long durationMs, boolean complete, long nowMs) {
        advance(nowMs);
        currentMs = Math.max(currentMs, durationMs);
        currentComplete += complete ? 1 : 0;
    }

    /** Returns the longest recent duration, or {@link #NONE} if there is no complete one. */
    long longestMs(long nowMs) {
        advance(nowMs);
        return currentComplete + previousComplete > 0 ? Math.max(currentMs, previousMs) : NONE;
    }

    /** Returns the number of recent durations that are not only lower bounds. */
    int completeCount(long nowMs) {
        advance(nowMs);
        return currentComplete + previousComplete;
    }

    private void advance(long nowMs) {
        long elapsedMs = nowMs - windowStartMs;
        if (elapsedMs < WINDOW_MS) {
            return;
        }
        boolean isNextWindow = elapsedMs < 2 * WINDOW_MS;
        previousMs = isNextWindow ? currentMs : NONE;
        previousComplete = isNextWindow ? currentComplete : 0;
        currentMs = NONE;
        currentComplete = 0;
        windowStartMs = isNextWindow ? windowStartMs + WINDOW_MS : nowMs;
    }
}
