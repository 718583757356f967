package org.marjoramswitch.daemon.caller;

/**
 * Tracks the longest time between two consecutive chunks of a response from its target, excluding the head.
 *
 * <p>Thread-safe, because chunks arrive on the target's I/O thread and the value is read on the caller's.
 */
final class LongestPause {
    private boolean started;
    private long lastChunkMs;
    private long longestMs;

    synchronized void onChunk(long nowMs) {
        if (started) {
            longestMs = Math.max(longestMs, nowMs - lastChunkMs);
        }
        started = true;
        lastChunkMs = nowMs;
    }

    /** Returns 0 if the response had fewer than two chunks. */
    synchronized long longestMs() {
        return longestMs;
    }
}
