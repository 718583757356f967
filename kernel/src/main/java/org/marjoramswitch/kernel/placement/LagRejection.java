package org.marjoramswitch.kernel.placement;

/**
 * Decides which placement requests an arbiter rejects on arrival while it lags behind its events.
 *
 * <p>Events are processed in order of arrival, so a burst leaves a lag that lasts as long as the load is near what the
 * arbiter can process: all requests become late, although targets are idle. Entries leave an arbiter with a long lag
 * together, and the requests that they send again keep this and the next arbiter behind permanently. A rejection costs a
 * part of a placement, since no response and no end of the request follow.
 *
 * <p>Requests that have become late are rejected first, then those of customers with considerably more than an even
 * share, finally all. From the second step on, some requests are rejected that would have been in time: while the
 * overload lasts, fewer are served than without this, and those after it are served in time again.
 */
final class LagRejection {
    private static final long LATE_LAG_MS = 20;
    private static final long LARGE_CUSTOMER_LAG_MS = 200;
    /** Below the lag at which entries leave their arbiter. */
    private static final long MAX_LAG_MS = 350;

    private LagRejection() {}

    /** @param delayMs how long the request's message waited at the arbiter's instance */
    static boolean rejects(WaitingRequest request, long delayMs, FairShareEstimate fairShare, long nowMs) {
        if (delayMs < LATE_LAG_MS) {
            return false;
        }
        if (delayMs >= MAX_LAG_MS) {
            return true;
        }
        if (request.objectiveAtMs() <= nowMs) {
            return !fairShare.isUnderserved(request.customer(), nowMs);
        }
        return delayMs >= LARGE_CUSTOMER_LAG_MS && fairShare.isFarAboveEvenShare(request.customer(), nowMs);
    }
}
