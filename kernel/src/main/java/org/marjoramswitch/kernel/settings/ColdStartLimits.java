package org.marjoramswitch.kernel.settings;

/**
 * What the operators state about cold targets of a pool.
 *
 * @param durationMs how long a target is cold after its start; 0 if its targets have no cold start
 * @param requestsPerSecond rate of requests that a cold target accepts, over all instances; 0 if unlimited
 */
public record ColdStartLimits(long durationMs, double requestsPerSecond) {
    public static final ColdStartLimits NONE = new ColdStartLimits(0, 0);

    public static ColdStartLimits of(long durationMs, double requestsPerSecond) {
        return new ColdStartLimits(durationMs, requestsPerSecond);
    }
}
