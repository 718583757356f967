package org.marjoramswitch.kernel.placement;

/** Computes how long an arbiter keeps requests that can no longer be in time, and so when its answer is due. */
public final class LateRequestHold {
    /** The part of the time a caller has left that a late request is held for, so that it can try once more. */
    private static final int DIVISOR = 4;

    private static final long MAX_MS = 1_500;
    /** For the messages between entry and arbiter. */
    private static final long ANSWER_MARGIN_MS = 250;

    private LateRequestHold() {}

    static long holdMs(long endAtMs, long nowMs) {
        return Math.min(MAX_MS, (endAtMs - nowMs) / DIVISOR);
    }

    /**
     * The time by which an arbiter without backlog has answered.
     *
     * @param objectiveAtMs when the request's first byte is late
     * @param endAtMs when its caller gives up
     */
    public static long responseDueAtMs(long objectiveAtMs, long endAtMs, long nowMs) {
        long lateAtMs = Math.max(objectiveAtMs, nowMs);
        return Math.min(endAtMs, lateAtMs + Math.max(0, holdMs(endAtMs, lateAtMs)) + ANSWER_MARGIN_MS);
    }
}
