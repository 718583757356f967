package org.marjoramswitch.kernel.settings;

/**
 * The cold start of a target: until it has warmed up it accepts few requests and crashes at a rate well above its limit.
 *
 * @param untilMs when the target has warmed up, by the clock of the instance that reads it
 * @param requestsPerSecond rate of requests that the target accepts until then, over all instances; 0 if unlimited
 */
public record ColdStart(long untilMs, double requestsPerSecond) {
    /** A target that has warmed up and has no limit when it is cold. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    public static ColdStart until(long untilMs, double requestsPerSecond) {
        return new ColdStart(untilMs, requestsPerSecond);
    }

    /** Whether the rate of requests is limited now. */
    public boolean isLimited(long nowMs) {
        return requestsPerSecond > 0 && nowMs < untilMs;
    }
}
