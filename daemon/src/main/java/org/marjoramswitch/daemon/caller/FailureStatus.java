package org.marjoramswitch.daemon.caller;

import java.util.Set;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.RunState;

/**
 * Maps a failure to an error whose HTTP status matches the request's run state. Callers on routes ignore problem bodies
 * and use only the status: 408, 421, 429 and 503 guarantee that the request did not run and never will, 502 and 504
 * guarantee nothing. A failure with an unknown run state must therefore not be reported with one of the former.
 */
final class FailureStatus {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MS = 1_000;

    private FailureStatus() {}

    static Failure of(Failure failure) {
        int status = failure.type().httpStatus();
        if (failure.run() == RunState.UNKNOWN && guaranteesNotRun(status)) {
            return new Failure(
                    ErrorType.TARGET_BROKE, RunState.UNKNOWN, 0, failure.type().name());
        }
        if (failure.run() == RunState.NOT_RUN
                && status >= FIRST_SERVER_ERROR
                && !guaranteesNotRun(status)
                && status <= GATEWAY_TIMEOUT) {
            return Failure.notRun(
                    ErrorType.NO_TARGET_IN_TIME, RETRY_AFTER_MS, failure.type().name());
        }
        return failure;
    }

    /** Whether callers on routes understand the status as a guarantee that the request did not run and never will. */
    static boolean guaranteesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }
}
