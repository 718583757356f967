package org.marjoramswitch.kernel.model;

/**
 * A target's report of its own load; it lags behind the actual load.
 *
 * @param measuredAtMs when the target measured the load, by the clock of the instance that read the report
 * @param running requests in the target's current batch
 * @param queued requests that the target has admitted but not started
 * @param maxBatch the target's maximum batch size; 0 if not reported
 */
public record LoadReport(long measuredAtMs, int running, int queued, int maxBatch) {
    public static LoadReport of(long measuredAtMs, int running, int queued, int maxBatch) {
        return new LoadReport(measuredAtMs, running, queued, maxBatch);
    }
}
