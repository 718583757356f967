package org.marjoramswitch.kernel.placement;

/** What the reading of its prompt leaves a request of its objective. */
enum SizeClass {
    /** Less than requests wait for their turn under overload: it would hardly ever have its turn in time. */
    LARGE,
    USUAL,
    /** Its objective was over when it came: a later try, which says nothing of its size. */
    NOT_COUNTED;

    /** Of their objective, what requests wait for their turn under overload, by order of magnitude. */
    private static final double WAITING_SHARE = 0.6;

    /**
     * @param objectiveLeftMs until the first byte is late
     * @param firstByteMs what the first byte takes where the request goes to a target at once
     */
    static SizeClass of(long objectiveLeftMs, double firstByteMs) {
        if (objectiveLeftMs <= 0) {
            return NOT_COUNTED;
        }
        return objectiveLeftMs - firstByteMs < usualWaitMs(objectiveLeftMs) ? LARGE : USUAL;
    }

    static long usualWaitMs(long objectiveLeftMs) {
        return Math.round(WAITING_SHARE * objectiveLeftMs);
    }
}
