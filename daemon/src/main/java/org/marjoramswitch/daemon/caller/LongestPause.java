package org.marjoramswitch.daemon.caller;

/**
 * The longest time between two parts of one answer as they came from its target, the head not counted. Parts come on the
 * target's IO thread and the answer's end is written on the caller's, so the methods exclude each other.
 */
final class LongestPause {
    private boolean begun;
    private long heardAtMs;
    private long longestMs;

    synchronized void heard(long nowMs) {
        if (begun) {
            longestMs = Math.max(longestMs, nowMs - heardAtMs);
        }
        begun = true;
        heardAtMs = nowMs;
    }

    /** 0 where the answer had one part or none. */
    synchronized long longestMs() {
        return longestMs;
    }
}
