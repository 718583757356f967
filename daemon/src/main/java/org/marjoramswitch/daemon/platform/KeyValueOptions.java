package org.marjoramswitch.daemon.platform;

/**
 * Options of the client of the platform's key-value store.
 *
 * @param watchMaxAgeMs maximum age of a watch connection before a new one replaces it
 * @param maxResponseBytes maximum size of a response
 * @param seed seed of the backoff jitter
 */
public record KeyValueOptions(
        Timeouts timeouts,
        Budget budget,
        Pool pool,
        Backoff backoff,
        long watchMaxAgeMs,
        int maxResponseBytes,
        long seed) {
    private static final long MAX_RESPONSE_BYTES = 64 << 20;
    /** A response and the objects that are parsed from it take several times its size. */
    private static final long HEAP_DIVISOR = 16;

    /**
     * @param callMs maximum duration of a call, including waits and retries
     * @param attemptMs maximum duration of one attempt of a read before another address is tried
     * @param connectMs maximum duration of an attempt to connect
     */
    public record Timeouts(long callMs, long attemptMs, long connectMs) {}

    /**
     * @param callsPerSecond maximum rate of calls, including every attempt and every opened watch
     * @param burstCalls maximum number of calls in a burst after an idle period
     */
    public record Budget(int callsPerSecond, int burstCalls) {}

    /**
     * @param connectionsPerAddress maximum number of idle connections per address
     * @param idleAgeMs maximum idle time of a connection before it is closed
     */
    public record Pool(int connectionsPerAddress, long idleAgeMs) {}

    /**
     * @param firstMs upper bound of the first backoff after a failure; doubles with each further failure
     * @param maxMs upper bound of every backoff
     */
    public record Backoff(long firstMs, long maxMs) {}

    /** The defaults; each instance uses its own seed. */
    public static KeyValueOptions of(long seed) {
        return new KeyValueOptions(
                new Timeouts(2_000, 800, 500),
                new Budget(50, 100),
                new Pool(4, 10_000),
                new Backoff(50, 2_000),
                3_000,
                (int) Math.min(MAX_RESPONSE_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR),
                seed);
    }

    public KeyValueOptions withMaxResponseBytes(int changedBytes) {
        return new KeyValueOptions(timeouts, budget, pool, backoff, watchMaxAgeMs, changedBytes, seed);
    }

    public KeyValueOptions withTimeouts(long callMs, long attemptMs, long connectMs) {
        Timeouts changed = new Timeouts(callMs, attemptMs, connectMs);
        return new KeyValueOptions(changed, budget, pool, backoff, watchMaxAgeMs, maxResponseBytes, seed);
    }

    public KeyValueOptions withBudget(int callsPerSecond, int burstCalls) {
        Budget changed = new Budget(callsPerSecond, burstCalls);
        return new KeyValueOptions(timeouts, changed, pool, backoff, watchMaxAgeMs, maxResponseBytes, seed);
    }

    public KeyValueOptions withBackoff(long firstMs, long maxMs) {
        Backoff changed = new Backoff(firstMs, maxMs);
        return new KeyValueOptions(timeouts, budget, pool, changed, watchMaxAgeMs, maxResponseBytes, seed);
    }

    public KeyValueOptions withWatchMaxAge(long changedMs) {
        return new KeyValueOptions(timeouts, budget, pool, backoff, changedMs, maxResponseBytes, seed);
    }
}
