package org.marjoramswitch.kernel.entry;

/**
 * The largest size that the fleet had within the last seconds. While the fleet is partitioned, each part sees only
 * itself after a few seconds, and the larger size of before tells it that others may exist.
 */
final class RecentMaximum {
    /** Instances that are gone for this long have exited or been replaced rather than been cut off. */
    static final long HOLD_MS = 15_000;

    private int max;
    private long maxAtMs;
    private int last;

    private RecentMaximum() {}

    static RecentMaximum create() {
        return new RecentMaximum();
    }

    void record(int size, long nowMs) {
        last = size;
        if (size >= max(nowMs)) {
            max = size;
            maxAtMs = nowMs;
        }
    }

    int max(long nowMs) {
        return nowMs - maxAtMs > HOLD_MS ? last : Math.max(max, last);
    }
}
