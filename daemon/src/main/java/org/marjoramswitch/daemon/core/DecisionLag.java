package org.marjoramswitch.daemon.core;

import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Logs how long events waited for their decision, at most one line per second and only while the wait exceeds a
 * threshold.
 *
 * <p>Confined to the decision thread.
 */
final class DecisionLag {
    private static final KeyValueLog LOG = KeyValueLog.of(DecisionLag.class);
    private static final long INTERVAL_MS = 1_000;
    private static final long WARN_THRESHOLD_MS = 60;

    private long intervalEndMs = Long.MIN_VALUE;
    private long longestMs;
    private int events;

    /** @param ringDepth number of events still in the ring */
    void record(long waitedMs, int ringDepth, long nowMs) {
        events++;
        longestMs = Math.max(longestMs, waitedMs);
        if (nowMs < intervalEndMs) {
            return;
        }
        if (longestMs >= WARN_THRESHOLD_MS) {
            LOG.warn("decisions_behind", "longestWaitMs", longestMs, "events", events, "ringDepth", ringDepth);
        }
        intervalEndMs = nowMs + INTERVAL_MS;
        longestMs = 0;
        events = 0;
    }
}
