package org.marjoramswitch.daemon.caller;

/**
 * Whether an instance is behind with its work for longer than a moment.
 *
 * <p>Callers of one customer may all use one instance. Flooded beyond what its processor can do, it took every request, sent
 * them on seconds later, when their callers had left, and served none in time, while engines idled: of 24 thousand requests of
 * one data centre's callers 10 thousand failed. An instance that is behind refuses instead, at once and with a short time to
 * come back: a refused caller chooses an instance anew, so that its second try finds another one.
 *
 * <p>The delay of single moments says little: a collection, or a processor whose share is used up for the rest of a tenth of a
 * second, delays everything by as much and is over. So only a delay that stands is counted, one that all of the newest few
 * samples have in common (the idea of controlled delay, RFC 8289). It ends with the first sample that is on time.
 *
 * <p>Cost: constant. Safe for one thread that samples and any that ask.
 */
final class StandingLag {
    /** Between two samples, where the processor is on time. */
    static final long SAMPLE_MS = 20;
    /** Objectives begin at some hundred milliseconds, of which the instance's own work may take a part. */
    private static final long MOST_LAG_MS = 60;
    /** So many samples in a row; with delays of this size they span a fifth of a second or more. */
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
