package org.marjoramswitch.kernel.admission;

/** An exponential average of a rate, in amount per millisecond. */
final class DecayingRate {
    /**
     * Several times the interval between lag samples, so that the rate of a customer with few requests is not dominated by
     * its latest one, and short enough that a flood is recognized as such within the first cuts of the limit.
     */
    private static final double DEFAULT_WINDOW_MS = 250;

    private final double windowMs;
    private double perMs;
    private long updatedAtMs;

    private DecayingRate(double windowMs) {
        this.windowMs = windowMs;
    }

    static DecayingRate create() {
        return over(DEFAULT_WINDOW_MS);
    }

    static DecayingRate over(double windowMs) {
        return new DecayingRate(windowMs);
    }

    void add(double amount, long nowMs) {
        perMs = perMs(nowMs) + amount / windowMs;
        updatedAtMs = Math.max(updatedAtMs, nowMs);
    }

    double perMs(long nowMs) {
        return perMs * Math.exp(-Math.max(0, nowMs - updatedAtMs) / windowMs);
    }
}
