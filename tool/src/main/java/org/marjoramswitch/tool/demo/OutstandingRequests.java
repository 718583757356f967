package org.marjoramswitch.tool.demo;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramswitch.tool.load.AttemptResult;
import org.marjoramswitch.tool.load.LoadListener;
import org.marjoramswitch.tool.load.ProgressPrinter;
import org.marjoramswitch.tool.load.RequestOutcome;
import org.marjoramswitch.tool.load.RequestPlan;

/** Tracks each customer's outstanding model requests and the rejected service calls. Safe to read from any thread. */
final class OutstandingRequests implements LoadListener {
    private final Map<String, Integer> byCustomer = new ConcurrentHashMap<>();
    private final Set<String> refusedCalls = ConcurrentHashMap.newKeySet();
    private final ProgressPrinter progress;

    OutstandingRequests(ProgressPrinter progress) {
        this.progress = progress;
    }

    Map<String, Integer> byCustomer() {
        return Map.copyOf(byCustomer);
    }

    /** Returns the ids of the service calls that were reported to their callers as not run. */
    Set<String> refusedCalls() {
        return Set.copyOf(refusedCalls);
    }

    @Override
    public void onRequest(RequestPlan plan) {
        if (plan.kind() == RequestPlan.Kind.MODEL) {
            byCustomer.merge(plan.customer(), 1, Integer::sum);
        }
    }

    @Override
    public void onOutcome(RequestPlan plan, RequestOutcome outcome, AttemptResult last) {
        if (plan.kind() == RequestPlan.Kind.MODEL) {
            byCustomer.merge(plan.customer(), -1, Integer::sum);
        } else if (outcome == RequestOutcome.REFUSED_NOT_RUN) {
            refusedCalls.add(plan.requestId());
        }
    }

    @Override
    public void onProgress(long elapsedMs, long requests, long ended, long outstanding) {
        progress.onProgress(elapsedMs, requests, ended, outstanding);
    }
}
