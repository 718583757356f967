package org.marjoramswitch.daemon.route;

/** What a caller may send, and how long it may take. */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {
    /** Until settings say otherwise. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4L << 20, 3_000, 15_000);
}
