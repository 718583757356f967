package org.marjoramswitch.kernel.placement;

/**
 * Computes how long an arbiter holds requests that can no longer meet their objective, and when its response is due.
 */
public final class LateRequestHold {
    /**
     * A late request is held for this fraction of its caller's remaining time, so that the caller can retry once more.
     */
    private static final int HOLD_DIVISOR = 4;

    private static final long MAX_HOLD_MS = 1_500;
    /** Allows for the messages between the entry instance and the arbiter. */
    private static final long RESPONSE_MARGIN_MS = 250;

    private LateRequestHold() {}

    static long holdMs(long deadlineMs, long nowMs) {
        return Math.min(MAX_HOLD_MS, (deadlineMs - nowMs) / HOLD_DIVISOR);
    }

    /**
     * The time by which an arbiter without backlog has responded to a placement request.
     *
     * @param objectiveAtMs when the request's first byte is late
     * @param deadlineMs when its caller times out
     */
    public static long responseDueAtMs(long objectiveAtMs, long deadlineMs, long nowMs) {
        long lateAtMs = Math.max(objectiveAtMs, nowMs);
        return Math.min(deadlineMs, lateAtMs + Math.max(0, holdMs(deadlineMs, lateAtMs)) + RESPONSE_MARGIN_MS);
    }
}
