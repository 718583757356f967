package org.marjoramswitch.tool.load;

import org.marjoramswitch.tool.http.CallEnd;

/**
 * Result of an attempt that has ended.
 *
 * @param status the HTTP status; 0 if no response head was read
 * @param retryAfterMs the delay of the Retry-After header; -1 if the response has none
 * @param firstTokenNs time from the attempt's start to the first streamed token; -1 if no token was streamed
 * @param endedNs end time on the {@link System#nanoTime} clock
 * @param detail describes the failure; empty for a successful attempt
 */
public record AttemptResult(
        AttemptVerdict verdict,
        CallEnd end,
        int status,
        long retryAfterMs,
        long firstTokenNs,
        long endedNs,
        String detail) {
    private static final int TEMPORARY_REDIRECT = 307;
    private static final String KEY_DEAD = "key-dead";

    /** Whether an instance reported that nothing was executed; false for a failed connection. */
    boolean saysNotRun() {
        return verdict == AttemptVerdict.NOT_RUN && end == CallEnd.COMPLETE;
    }

    /** Whether the fleet declared the key not run for good, so that only a new key can be executed. */
    boolean saysKeyDead() {
        return detail.endsWith(KEY_DEAD);
    }

    /** Whether the instance redirects to another instance that knows the key. */
    boolean isRedirect() {
        return status == TEMPORARY_REDIRECT;
    }
}
