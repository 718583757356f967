package org.marjoramswitch.kernel.error;

import org.marjoramswitch.kernel.model.RunState;

/**
 * A failure as reported to a caller.
 *
 * @param retryAfterMs delay after which a retry is useful; 0 if unknown
 */
public record Failure(ErrorType type, RunState run, long retryAfterMs, String detail) {
    public static Failure notRun(ErrorType type, long retryAfterMs, String detail) {
        return new Failure(type, RunState.NOT_RUN, retryAfterMs, detail);
    }

    public static Failure unknown(ErrorType type, String detail) {
        return new Failure(type, RunState.UNKNOWN, 0, detail);
    }

    public String message() {
        return type.message(detail);
    }
}
