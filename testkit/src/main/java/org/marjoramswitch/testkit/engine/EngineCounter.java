package org.marjoramswitch.testkit.engine;

import java.util.HashMap;
import java.util.Map;

/** Thread-safe collector of {@link EngineCounts}. */
final class EngineCounter {
    private final Map<String, Integer> executions = new HashMap<>();
    private final Map<String, Long> tokensByCustomer = new HashMap<>();
    private final Map<String, Integer> runningByCustomer = new HashMap<>();
    private long started;
    private long completed;
    private long cancelled;
    private long cachedPromptTokens;
    private double busySlotMs;
    private double idleSlotMs;

    synchronized void started(ChatRequest request, int cachedTokens) {
        executions.merge(request.executionId(), 1, Integer::sum);
        runningByCustomer.merge(request.customer(), 1, Integer::sum);
        started++;
        cachedPromptTokens += cachedTokens;
    }

    synchronized void tokenGenerated(ChatRequest request) {
        tokensByCustomer.merge(request.customer(), 1L, Long::sum);
    }

    synchronized void completed(ChatRequest request) {
        runningByCustomer.merge(request.customer(), -1, Integer::sum);
        completed++;
    }

    /** @param wasRunning whether the request held a batch slot */
    synchronized void cancelled(ChatRequest request, boolean wasRunning) {
        if (wasRunning) {
            runningByCustomer.merge(request.customer(), -1, Integer::sum);
        }
        cancelled++;
    }

    synchronized void addSlotTime(int busySlots, int idleSlots, double ms) {
        busySlotMs += busySlots * ms;
        idleSlotMs += idleSlots * ms;
    }

    synchronized EngineCounts counts() {
        return new EngineCounts(
                Map.copyOf(executions),
                Map.copyOf(tokensByCustomer),
                Map.copyOf(runningByCustomer),
                started,
                completed,
                cancelled,
                cachedPromptTokens,
                busySlotMs,
                idleSlotMs);
    }
}
