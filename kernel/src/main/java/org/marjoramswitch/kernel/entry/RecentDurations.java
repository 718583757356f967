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
    private boolean currentHasComplete;
    private boolean previousHasComplete;

    private RecentDurations() {}

    static RecentDurations create() {
        return new RecentDurations();
    }

    /** @param complete whether the duration is not only a lower bound */
    void record(long durationMs, boolean complete, long nowMs) {
        advance(nowMs);
        currentMs = Math.max(currentMs, durationMs);
        currentHasComplete |= complete;
    }

    /** Returns the longest recent duration, or {@link #NONE} if there is no complete one. */
    long longestMs(long nowMs) {
        advance(nowMs);
        return currentHasComplete || previousHasComplete ? Math.max(currentMs, previousMs) : NONE;
    }

    private void advance(long nowMs) {
        long elapsedMs = nowMs - windowStartMs;
        if (elapsedMs < WINDOW_MS) {
            return;
        }
        boolean isNextWindow = elapsedMs < 2 * WINDOW_MS;
        previousMs = isNextWindow ? currentMs : NONE;
        previousHasComplete = isNextWindow && currentHasComplete;
        currentMs = NONE;
        currentHasComplete = false;
        windowStartMs = isNextWindow ? windowStartMs + WINDOW_MS : nowMs;
    }
}
