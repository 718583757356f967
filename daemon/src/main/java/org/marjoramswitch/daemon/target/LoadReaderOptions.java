package org.marjoramswitch.daemon.target;

/**
 * Intervals and timeout of the queries to targets.
 *
 * @param loadEveryMs interval between queries for a target's load
 * @param cacheEventsEveryMs interval between queries for its cache events
 * @param timeoutMs longest time without a byte of the response
 */
public record LoadReaderOptions(long loadEveryMs, long cacheEventsEveryMs, long timeoutMs) {
    private static final LoadReaderOptions DEFAULTS = new LoadReaderOptions(1_000, 4_000, 1_000);

    public static LoadReaderOptions defaults() {
        return DEFAULTS;
    }
}
