package org.marjoramswitch.daemon.platform;

/**
 * How the client of the platform's service behaves.
 *
 * @param watchMaxAgeMs the longest one watch connection is trusted before a fresh one takes over from it
 * @param maxResponseBytes the largest answer that is read
 * @param seed of the waits' jitter
 */
public record KeyValueOptions(
        Timeouts timeouts,
        Budget budget,
        Pool pool,
        Backoff backoff,
        long watchMaxAgeMs,
        int maxResponseBytes,
        long seed) {
    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    /**
     * @param callMs the longest any call lasts, with its waits and second attempts
     * @param attemptMs the longest one attempt of a read lasts before another address is tried
     * @param connectMs the longest an attempt to connect lasts
     */
    public record Timeouts(long callMs, long attemptMs, long connectMs) {}

    /**
     * @param callsPerSecond the calls that may be made, every attempt and every opened watch counted
     * @param burstCalls the calls that may be made at once after a quiet time
     */
    public record Budget(int callsPerSecond, int burstCalls) {}

    /**
     * @param connectionsPerAddress the most connections that rest for one address
     * @param idleAgeMs the longest a connection rests before it is closed unused
     */
    public record Pool(int connectionsPerAddress, long idleAgeMs) {}

    /**
     * @param firstMs the upper bound of the first wait after a failure; it doubles with each further one
     * @param maxMs the upper bound of all waits
     */
    public record Backoff(long firstMs, long maxMs) {}

    /** The defaults; each instance has a seed of its own. */
    public static KeyValueOptions of(long seed) {
        return new KeyValueOptions(
                new Timeouts(2_000, 800, 500),
                new Budget(50, 100),
                new Pool(4, 10_000),
                new Backoff(50, 2_000),
                3_000,
                MAX_RESPONSE_BYTES,
                seed);
    }

    public KeyValueOptions withTimeouts(long callMs, long attemptMs, long connectMs) {
        Timeouts changed = new Timeouts(callMs, attemptMs, connectMs);
        return new KeyValueOptions(changed, budget, pool, backoff, watchMaxAgeMs, maxResponseBytes, seed);
    }

    public KeyValueOptions withBudget(int callsPerSecond, int burstCalls) {
        Budget changed = new Budget(callsPerSecond, burstCalls);
        return new KeyValueOptions(timeouts, changed, pool, backoff, watchMaxAgeMs, maxResponseBytes, seed);
    }

    /** With other waits after failures. */
    public KeyValueOptions withBackoff(long firstMs, long maxMs) {
        Backoff changed = new Backoff(firstMs, maxMs);
        return new KeyValueOptions(timeouts, budget, pool, changed, watchMaxAgeMs, maxResponseBytes, seed);
    }

    public KeyValueOptions withWatchMaxAge(long changedMs) {
        return new KeyValueOptions(timeouts, budget, pool, backoff, changedMs, maxResponseBytes, seed);
    }
}
