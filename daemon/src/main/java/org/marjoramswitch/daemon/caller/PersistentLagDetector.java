package org.marjoramswitch.daemon.caller;

/**
 * Detects that an instance is persistently behind with its work.
 *
 * <p>All callers of a customer may use the same instance. If it accepted more requests than its processor can handle, it would
 * forward them only after their callers had given up. An overloaded instance therefore rejects requests at once with a short
 * retry delay, and the caller chooses another instance.
 *
 * <p>A single late sample is ignored, because a garbage collection or an exhausted processor quota delays everything for a
 * moment. Only a delay that all of the latest samples share counts (the principle of CoDel, RFC 8289). The state ends with the
 * first sample that is on time.
 *
 * <p>Cost: constant. Safe for one thread that samples and any that ask.
 */
final class PersistentLagDetector {
    /** Interval between samples. */
    static final long SAMPLE_MS = 20;
    /** A small part of the shortest latency objectives, which begin at some hundred milliseconds. */
    private static final long MOST_LAG_MS = 60;
    /** Consecutive late samples needed; at the minimum delay they span about a fifth of a second. */
    private static final int SAMPLES = 3;

    private int lateInRow;
    private volatile boolean standing;

    /** @param lateMs by how much the instance's work is behind now */
    void sample(long lateMs) {
        lateInRow = lateMs >= MOST_LAG_MS ? Math.min(SAMPLES, lateInRow + 1) : 0;
        standing = lateInRow >= SAMPLES;
    }

    boolean isStanding() {
        return standing;
    }
}
