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

    /**
     * @param deadlineMs the caller's deadline
     * @param waitsUntilMs when the caller gives up, which may be before its deadline
     */
    static long holdMs(long deadlineMs, long waitsUntilMs, long nowMs) {
        long untilResponseMs = Math.max(0, waitsUntilMs - RESPONSE_MARGIN_MS - nowMs);
        return Math.min(untilResponseMs, Math.min(MAX_HOLD_MS, (deadlineMs - nowMs) / HOLD_DIVISOR));
    }

    /**
     * The time by which an arbiter without backlog has responded to a placement request.
     *
     * @param objectiveAtMs when the request's first byte is late
     * @param deadlineMs the caller's deadline
     * @param waitsUntilMs when the caller gives up, which may be before its deadline
     */
    public static long responseDueAtMs(long objectiveAtMs, long deadlineMs, long waitsUntilMs, long nowMs) {
        long lateAtMs = Math.max(objectiveAtMs, nowMs);
        long heldMs = Math.max(0, holdMs(deadlineMs, waitsUntilMs, lateAtMs));
        return Math.min(waitsUntilMs, lateAtMs + heldMs + RESPONSE_MARGIN_MS);
    }
}
