package org.marjoramswitch.daemon.caller;

/** A token bucket. Not thread-safe. */
final class RateLimit {
    private final double perMs;
    private final double burst;
    private double tokens;
    private long filledAtMs;

    /** @param burstMs the time whose tokens the bucket holds */
    RateLimit(double perMs, double burstMs) {
        this.perMs = perMs;
        this.burst = Math.max(1, perMs * burstMs);
        this.tokens = burst;
    }

    /** Takes one token; false if there is none. */
    boolean take(long nowMs) {
        if (!isAvailable(nowMs)) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Whether there is a token. */
    boolean isAvailable(long nowMs) {
        tokens = Math.min(burst, tokens + perMs * Math.max(0, nowMs - filledAtMs));
        filledAtMs = Math.max(filledAtMs, nowMs);
        return tokens >= 1;
    }
}
