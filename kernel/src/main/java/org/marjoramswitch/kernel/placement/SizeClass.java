package org.marjoramswitch.kernel.placement;

/** Classifies a request by the part of its objective that remains after its prefill. */
enum SizeClass {
    /**
     * The time left after the prefill is shorter than the typical queue wait under overload: rarely started in time.
     */
    LARGE,
    USUAL,
    /** The objective had expired on arrival: the request is a retry, so its remaining time does not show its size. */
    NOT_COUNTED;

    /** The typical queue wait under overload as a share of the objective, by order of magnitude. */
    private static final double QUEUE_WAIT_SHARE = 0.6;

    /**
     * @param objectiveLeftMs time until the first byte is late
     * @param firstByteMs time to first byte if the request is started immediately
     */
    static SizeClass of(long objectiveLeftMs, double firstByteMs) {
        if (objectiveLeftMs <= 0) {
            return NOT_COUNTED;
        }
        return objectiveLeftMs - firstByteMs < expectedQueueWaitMs(objectiveLeftMs) ? LARGE : USUAL;
    }

    static long expectedQueueWaitMs(long objectiveLeftMs) {
        return Math.round(QUEUE_WAIT_SHARE * objectiveLeftMs);
    }
}
