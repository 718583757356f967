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
    /** Used for limits that the settings do not specify. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4L << 20, 3_000, 15_000);

    /** Returns the larger one of each limit. */
    public CallerLimits orMoreGenerous(CallerLimits other) {
        return new CallerLimits(
                Math.max(maxHeadBytes, other.maxHeadBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headTimeoutMs, other.headTimeoutMs),
                Math.max(idleTimeoutMs, other.idleTimeoutMs));
    }
}
