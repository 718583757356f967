package org.marjoramswitch.kernel.error;

import org.marjoramswitch.kernel.model.RunState;

/**
 * The failure of a request, as reported to its caller.
 *
 * @param retryAfterMs delay after which a retry is useful; 0 if unknown
 */
public record Failure(ErrorType type, RunState run, long retryAfterMs, String detail) {
    /** A failure of a request that was not and will not be executed. */
    public static Failure notRun(ErrorType type, long retryAfterMs, String detail) {
        return new Failure(type, RunState.NOT_RUN, retryAfterMs, detail);
    }

    /** A failure of a request that a target may have executed. */
    public static Failure unknown(ErrorType type, String detail) {
        return new Failure(type, RunState.UNKNOWN, 0, detail);
    }

    public String message() {
        return type.message(detail);
    }
}
