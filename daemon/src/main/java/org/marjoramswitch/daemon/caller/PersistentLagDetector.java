package org.marjoramswitch.daemon.caller;

/**
 * Detects that an instance lags persistently: its events and timers are processed late.
 *
 * <p>All callers of a customer may use the same instance. If it accepted more requests than its processor can handle,
 * it would forward them only after their callers had timed out. A lagging instance therefore rejects requests
 * immediately with a short retry delay, and the caller chooses another instance.
 *
 * <p>A single late sample is ignored, because a garbage collection or an exhausted processor quota delays everything
 * briefly. The lag counts only if all of the latest samples are late (the principle of CoDel, RFC 8289). The state ends
 * with the first sample that is on time.
 *
 * <p>Cost: constant. {@link #sample} must be called by one thread; {@link #isPersistent} is thread-safe.
 */
final class PersistentLagDetector {
    /** Interval between samples. */
    static final long SAMPLE_MS = 20;
    /** A small part of the shortest latency objectives, which are a few hundred milliseconds. */
    private static final long MIN_LAG_MS = 60;
    /** Required consecutive late samples; at the minimum delay they span about 200 ms. */
    private static final int MIN_LATE_SAMPLES = 3;

    private int consecutiveLate;
    private volatile boolean persistent;

    /** @param lateMs current lag of the instance's work */
    void sample(long lateMs) {
        consecutiveLate = lateMs >= MIN_LAG_MS ? Math.min(MIN_LATE_SAMPLES, consecutiveLate + 1) : 0;
        persistent = consecutiveLate >= MIN_LATE_SAMPLES;
    }

    boolean isPersistent() {
        return persistent;
    }
}
