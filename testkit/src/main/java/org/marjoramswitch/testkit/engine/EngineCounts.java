package org.marjoramswitch.testkit.engine;

import java.util.Map;

/**
 * What the engine has done since its start, as it measured it itself.
 *
 * @param executions per request id, how often it was taken into the batch
 * @param tokensByCustomer output tokens generated for each customer
 * @param runningByCustomer places of the batch that each customer's requests hold now
 * @param busySlotMs time of batch places with a request in them, summed over the places
 * @param idleSlotMs time of empty batch places, summed over the places
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
    /** Request ids that were executed more than once. */
    public long duplicateExecutions() {
        return executions.values().stream().filter(times -> times > 1).count();
    }

    public long outputTokens() {
        return tokensByCustomer.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The share of slot time that was busy since an earlier count; 0 where no time passed. */
    public double utilisationSince(EngineCounts earlier) {
        double busy = busySlotMs - earlier.busySlotMs;
        double idle = idleSlotMs - earlier.idleSlotMs;
        return busy + idle == 0 ? 0 : busy / (busy + idle);
    }
}
