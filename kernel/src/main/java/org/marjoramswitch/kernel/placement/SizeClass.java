package org.marjoramswitch.kernel.placement;

/** Classifies a request by the part of its objective that remains after its prefill. */
enum SizeClass {
    /** Less time remains than requests wait under overload, so that it would rarely be started in time. */
    LARGE,
    USUAL,
    /** Its objective had expired on arrival: a retry, so its remaining time says nothing about its size. */
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
