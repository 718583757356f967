package org.marjoramswitch.kernel.capacity;

/**
 * Keeps work from a target that keeps failing, and probes it back in.
 *
 * <p>After {@value #FAULTS_TO_EJECT} faults in a row the target gets nothing for a while that doubles with every
 * ejection, from {@value #BASE_EJECTION_MS} ms to {@value #MAX_EJECTION_MS} ms; then one request at a time as a probe,
 * until one succeeds. Without it the fastest target is the one that fails at once: it frees its slots soonest and
 * draws the whole queue through itself.
 */
public final class OutlierEjection {
    private static final int FAULTS_TO_EJECT = 3;
    private static final long BASE_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;

    private int faultsInRow;
    private int ejections;
    private long ejectedUntilMs;
    private boolean probing;

    private OutlierEjection() {}

    public static OutlierEjection create() {
        return new OutlierEjection();
    }

    /** A request ended well. */
    public void succeeded() {
        faultsInRow = 0;
        ejections = 0;
        probing = false;
    }

    /** A request ended by the target's fault. */
    public void failed(long nowMs) {
        faultsInRow++;
        if (!probing && faultsInRow < FAULTS_TO_EJECT) {
            return;
        }
        if (nowMs < ejectedUntilMs) {
            return;
        }
        long ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS << Math.min(ejections, 5));
        ejections++;
        ejectedUntilMs = nowMs + ejectionMs;
        probing = true;
    }

    /** How many of {@code free} slots may be granted now. */
    public int allowed(int free, int inFlight, long nowMs) {
        if (!probing) {
            return free;
        }
        boolean mayProbe = nowMs >= ejectedUntilMs && inFlight == 0;
        return mayProbe ? Math.min(1, free) : 0;
    }

    public boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }
}
