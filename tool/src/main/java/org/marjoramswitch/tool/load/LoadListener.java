package org.marjoramswitch.tool.load;

/** Observes a load. Called on the thread that drives the load; implementations must not block. */
public interface LoadListener {
    /** Called once per request, before its first attempt. */
    void onRequest(RequestPlan plan);

    /** Called once per request when it has ended; {@code last} is the result of its last attempt. */
    void onOutcome(RequestPlan plan, RequestOutcome outcome, AttemptResult last);

    /** Called about once a second. */
    void onProgress(long elapsedMs, long requests, long ended, long outstanding);
}
