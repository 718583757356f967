package org.marjoramswitch.daemon.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates from a caller's remaining timeout how long the caller has waited. Callers of a route start with the same
 * timeout and send the remaining time with each retry. The most frequent value is therefore the timeout of first
 * attempts, and a smaller value comes from a retry.
 *
 * <p>Without the estimate, a retry after a rejection looks like a new request: under overload, half of all placements
 * then go to requests that are already late and make as many new requests late.
 *
 * <p>Edge cases: a caller with a shorter timeout than the others is taken for a retry; it is served after the others
 * and is not otherwise affected.
 *
 * <p>Thread-safe.
 */
final class CallerTimeoutEstimate {
    /** Number of latest requests of a route that are counted. */
    private static final int WINDOW_REQUESTS = 128;

    private final Deque<Long> latest = new ArrayDeque<>();
    private final Map<Long, Integer> counts = new HashMap<>();

    /** @param remainingMs the caller's timeout; 0 if not given */
    synchronized long elapsedMs(long remainingMs) {
        if (remainingMs <= 0) {
            return 0;
        }
        addSample(remainingMs);
        return Math.max(0, initialTimeoutMs() - remainingMs);
    }

    private void addSample(long remainingMs) {
        latest.addLast(remainingMs);
        counts.merge(remainingMs, 1, Integer::sum);
        if (latest.size() > WINDOW_REQUESTS) {
            counts.computeIfPresent(latest.removeFirst(), (value, count) -> count == 1 ? null : count - 1);
        }
    }

    /** The most frequent timeout, the largest if several are; 0 if no timeout occurred twice. */
    private long initialTimeoutMs() {
        long mostFrequent = 0;
        int highestCount = 1;
        for (Map.Entry<Long, Integer> entry : counts.entrySet()) {
            boolean isMoreFrequent = entry.getValue() > highestCount
                    || (entry.getValue() == highestCount && entry.getKey() > mostFrequent);
            if (isMoreFrequent && entry.getValue() > 1) {
                mostFrequent = entry.getKey();
                highestCount = entry.getValue();
            }
        }
        return mostFrequent;
    }
}
