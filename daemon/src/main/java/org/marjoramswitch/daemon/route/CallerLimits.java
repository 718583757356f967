package org.marjoramswitch.daemon.route;

/**
 * Limits on caller connections.
 *
 * @param maxHeadBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headTimeoutMs the maximum time for receiving a request head
 * @param idleTimeoutMs the time after which an idle connection is closed
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {
    /** Used until settings specify other limits. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4L << 20, 3_000, 15_000);
}
