package org.marjoramswitch.testkit.engine;

import java.util.Map;

/**
 * Counters that an engine has collected since its start.
 *
 * @param executions number of times each request id was admitted to the batch
 * @param tokensByCustomer output tokens generated, by customer
 * @param runningByCustomer batch slots currently held, by customer
 * @param busySlotMs time with a request running, summed over the batch slots
 * @param idleSlotMs time without a request, summed over the batch slots
 * @param cancelled requests cancelled before their end
 */
public record EngineCounts(
        Map<String, Integer> executions,
        Map<String, Long> tokensByCustomer,
        Map<String, Integer> runningByCustomer,
        long started,
        long completed,
        long cancelled,
        long cachedPromptTokens,
        double busySlotMs,
        double idleSlotMs) {
    /** Returns the number of request ids executed more than once. */
    public long duplicateExecutions() {
        return executions.values().stream().filter(times -> times > 1).count();
    }

    public long outputTokens() {
        return tokensByCustomer.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the fraction of slot time that was busy since the earlier counts, or 0 if no time has passed. */
    public double utilisationSince(EngineCounts earlier) {
        double busy = busySlotMs - earlier.busySlotMs;
        double idle = idleSlotMs - earlier.idleSlotMs;
        return busy + idle == 0 ? 0 : busy / (busy + idle);
    }
}
