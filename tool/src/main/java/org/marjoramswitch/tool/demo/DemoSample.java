package org.marjoramswitch.tool.demo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.testkit.engine.EngineCounts;

/**
 * Counters of engines and callers at one point in time.
 *
 * @param tokensByCustomer output tokens since the engines' start
 * @param runningByCustomer requests currently in the engines' batches
 * @param outstandingByCustomer model requests of callers that have not ended
 */
record DemoSample(
        double busySlotMs,
        double idleSlotMs,
        Map<String, Long> tokensByCustomer,
        Map<String, Integer> runningByCustomer,
        Map<String, Integer> outstandingByCustomer) {
    static DemoSample of(List<EngineCounts> engines, Map<String, Integer> outstandingByCustomer) {
        Map<String, Long> tokens = new HashMap<>();
        Map<String, Integer> running = new HashMap<>();
        double busyMs = 0;
        double idleMs = 0;
        for (EngineCounts engine : engines) {
            busyMs += engine.busySlotMs();
            idleMs += engine.idleSlotMs();
            engine.tokensByCustomer().forEach((customer, count) -> tokens.merge(customer, count, Long::sum));
            engine.runningByCustomer().forEach((customer, count) -> running.merge(customer, count, Integer::sum));
        }
        return new DemoSample(busyMs, idleMs, tokens, running, outstandingByCustomer);
    }

    int outstanding() {
        return outstandingByCustomer.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    boolean isBacklogged(String customer) {
        return outstandingByCustomer.getOrDefault(customer, 0) > runningByCustomer.getOrDefault(customer, 0);
    }

    long tokens(String customer) {
        return tokensByCustomer.getOrDefault(customer, 0L);
    }
}
