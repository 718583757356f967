package org.marjoramswitch.kernel.capacity;

/**
 * Ejects a target after consecutive faults and re-admits it through probes.
 *
 * <p>After a number of consecutive faults, which depends on the pool's fault rate, the target receives no requests for a
 * period that doubles with every ejection, from {@value #BASE_EJECTION_MS} ms to {@value #MAX_EJECTION_MS} ms. After that
 * it receives one request at a time as a probe until one succeeds. Without ejection, a target that fails requests
 * immediately frees its slots first and receives all waiting requests.
 *
 * <p>Where a target's host refuses connections, the requests are not the cause, and the pool's fault rate does not matter:
 * with it, many such targets would keep each other in use.
 *
 * <p>While the whole pool fails requests, a failed probe says little about the target, and the period does not grow.
 */
public final class OutlierEjection {
    private static final long BASE_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;

    private final PoolFaultRate poolFaultRate;
    private int consecutiveFaults;
    private int ejections;
    private long ejectedUntilMs;
    private boolean probing;

    private OutlierEjection(PoolFaultRate poolFaultRate) {
        this.poolFaultRate = poolFaultRate;
    }

    /** @param poolFaultRate the fault rate of all targets of the pool, which the pool's arbiter records */
    public static OutlierEjection create(PoolFaultRate poolFaultRate) {
        return new OutlierEjection(poolFaultRate);
    }

    /**
     * Records a successful request, which resets the fault and ejection counts and ends probing. During an ejection it
     * was sent before that: the target may have crashed since, with the response still unread.
     */
    public void succeeded(long nowMs) {
        poolFaultRate.record(false);
        if (isEjected(nowMs)) {
            return;
        }
        consecutiveFaults = 0;
        ejections = 0;
        probing = false;
    }

    /** Records a request that failed through the target's fault. */
    public void failed(long nowMs) {
        if (consecutiveFaults < PoolFaultRate.MIN_FAULTS_TO_EJECT) {
            // Further faults of the same series are the target's own and say nothing about the pool.
            poolFaultRate.record(true);
        }
        consecutiveFaults++;
        if (probing || consecutiveFaults >= poolFaultRate.faultsToEject()) {
            eject(nowMs);
        }
    }

    /** Records that the target's host refused a connection. */
    public void connectionRefused(long nowMs) {
        consecutiveFaults++;
        if (probing || consecutiveFaults >= PoolFaultRate.MIN_FAULTS_TO_EJECT) {
            eject(nowMs);
        }
    }

    private void eject(long nowMs) {
        if (nowMs < ejectedUntilMs) {
            return;
        }
        long ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS << Math.min(ejections, 5));
        ejections += poolFaultRate.isWidespread() ? 0 : 1;
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
