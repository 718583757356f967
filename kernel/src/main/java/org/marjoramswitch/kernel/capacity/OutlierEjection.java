package org.marjoramswitch.kernel.capacity;

/**
 * Ejects a target after consecutive faults and re-admits it through probes.
 *
 * <p>After {@value #FAULTS_TO_EJECT} consecutive faults the target receives no requests for a period that doubles with
 * every ejection, from {@value #BASE_EJECTION_MS} ms to {@value #MAX_EJECTION_MS} ms. After that it receives one
 * request at a time as a probe until one succeeds. Without ejection, a target that fails requests immediately frees its
 * slots first and receives all waiting requests.
 */
public final class OutlierEjection {
    private static final int FAULTS_TO_EJECT = 3;
    private static final long BASE_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;

    private int consecutiveFaults;
    private int ejections;
    private long ejectedUntilMs;
    private boolean probing;

    private OutlierEjection() {}

    public static OutlierEjection create() {
        return new OutlierEjection();
    }

    /** Records a successful request, which resets the fault and ejection counts and ends probing. */
    public void succeeded() {
        consecutiveFaults = 0;
        ejections = 0;
        probing = false;
    }

    /** Records a request that failed through the target's fault. */
    public void failed(long nowMs) {
        consecutiveFaults++;
        if (!probing && consecutiveFaults < FAULTS_TO_EJECT) {
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

    /** Returns how many of {@code free} slots may be granted now. */
    public int allowed(int free, int inFlight, long nowMs) {
        if (!probing) {
            return free;
        }
        boolean mayProbe = nowMs >= ejectedUntilMs && inFlight == 0;
        return mayProbe ? Math.min(1, free) : 0;
    }

    /** Whether the target receives no requests now; false while it receives probes. */
    public boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }
}
