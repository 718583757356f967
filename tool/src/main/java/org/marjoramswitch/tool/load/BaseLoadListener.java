package org.marjoramswitch.tool.load;

/** Base class of listeners; all methods are empty. */
public class BaseLoadListener implements LoadListener {
    @Override
    public void onRequest(RequestPlan plan) {}

    @Override
    public void onOutcome(RequestPlan plan, RequestOutcome outcome, AttemptResult last) {}

    @Override
    public void onProgress(long elapsedMs, long requests, long ended, long outstanding) {}
}
