package org.marjoramswitch.daemon.platform;

/** Rate limiter with a burst: refilled with {@code perSecond} tokens per second, up to {@code burst} tokens. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000;

    private final double perMs;
    private final double burst;
    private double tokens;
    private long refilledAtMs;

    private TokenBucket(double perSecond, double burst, long nowMs) {
        this.perMs = perSecond / MS_PER_SECOND;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtMs = nowMs;
    }

    static TokenBucket full(double perSecond, double burst, long nowMs) {
        return new TokenBucket(perSecond, burst, nowMs);
    }

    /** Takes a token if one is available. */
    boolean tryTake(long nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Time until a token is available, 0 if one is. */
    long waitMs(long nowMs) {
        refill(nowMs);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perMs);
    }

    private void refill(long nowMs) {
        long elapsedMs = Math.max(0, nowMs - refilledAtMs);
        tokens = Math.min(burst, tokens + elapsedMs * perMs);
        refilledAtMs = nowMs;
    }
}
