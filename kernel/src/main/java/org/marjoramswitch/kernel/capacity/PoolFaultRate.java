package org.marjoramswitch.kernel.capacity;

/**
 * Tracks the share of a pool's newest requests that failed through their targets' fault, and derives from it how many
 * consecutive faults mark a target as an outlier.
 *
 * <p>While the whole pool fails a part of its requests, series of faults occur at every target. With a fixed number all
 * targets would be ejected one after the other, for longer each time, and most of the pool would stay unused for seconds
 * after the cause is gone.
 *
 * <p>Cost: constant time. Not thread-safe.
 */
public final class PoolFaultRate {
    /** About the newest two hundred requests count. */
    private static final double DECAY = 1 - 1.0 / 200;
    /** Probability that a target with the pool's fault rate is taken for an outlier by one series of requests. */
    private static final double MAX_FALSE_EJECTION = 0.001;

    static final int MIN_FAULTS_TO_EJECT = 3;
    private static final int MAX_FAULTS_TO_EJECT = 30;
    /** From this share on the cause is not a single target, since ejected ones contribute no faults. */
    private static final double WIDESPREAD_SHARE = 0.2;

    private double total;
    private double faults;

    private PoolFaultRate() {}

    public static PoolFaultRate create() {
        return new PoolFaultRate();
    }

    /** Records the end of a request. */
    void record(boolean isFault) {
        total = DECAY * total + 1;
        faults = DECAY * faults + (isFault ? 1 : 0);
    }

    /** Whether the whole pool fails a considerable part of its requests. */
    boolean isWidespread() {
        return share() >= WIDESPREAD_SHARE;
    }

    /** The number of consecutive faults after which a target is an outlier. */
    int faultsToEject() {
        double share = share();
        if (share <= 0) {
            return MIN_FAULTS_TO_EJECT;
        }
        double count = Math.ceil(Math.log(MAX_FALSE_EJECTION) / Math.log(Math.min(share, 0.99)));
        return (int) Math.max(MIN_FAULTS_TO_EJECT, Math.min(MAX_FAULTS_TO_EJECT, count));
    }

    /** Few requests say little, so the share is that among at least as many as a series has. */
    private double share() {
        return faults / Math.max(MAX_FAULTS_TO_EJECT, total);
    }
}
