package org.marjoramswitch.kernel.entry;

import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Maps the outcome of an attempt to a retry decision, an error for the caller and a placement end for the arbiter. */
final class AttemptRules {
    /** Maximum attempts per request, independent of the retry budgets. */
    private static final int MAX_ATTEMPTS = 4;

    private static final long RETRY_AFTER_MS = 1_000;

    private AttemptRules() {}

    /**
     * Whether another attempt is safe and in time: the caller still waits, and either no attempt may have executed
     * the request or it is declared repeatable. After the response has begun, only resumable placed requests are
     * retried.
     */
    static boolean mayRetry(EntryRequest request, TargetOutcome outcome, long nowMs) {
        if (outcome == TargetOutcome.NOT_CONTINUABLE) {
            return false;
        }
        PlacementSpec placement = request.spec().placement();
        if (request.connectedAttempts() >= MAX_ATTEMPTS || nowMs >= request.waitsUntilMs()) {
            return false;
        }
        if (placement != null && request.executions() >= placement.attempts()) {
            return false;
        }
        if (outcome.answerBegun()) {
            return placement != null && placement.resumable();
        }
        return request.spec().repeatable() || !request.mayHaveRun();
    }

    /** Whether another attempt may follow the running one, the target of which has fallen silent. */
    static boolean mayReplaceRunning(EntryRequest request, boolean answerBegun, long nowMs) {
        PlacementSpec placement = request.spec().placement();
        if (placement == null || request.executions() + 1 >= placement.attempts()) {
            return false;
        }
        // The silent target may be executing the request.
        boolean mayRunAgain = answerBegun || request.spec().repeatable();
        TargetOutcome outcome = answerBegun ? TargetOutcome.SILENT_IN_ANSWER : TargetOutcome.SILENT_BEFORE_ANSWER;
        return mayRunAgain && mayRetry(request, outcome, nowMs);
    }

    static ErrorType errorOf(TargetOutcome outcome) {
        return switch (outcome) {
            case REFUSED, CONNECTION_REFUSED -> ErrorType.TARGET_REFUSED;
            case NOT_SENT -> ErrorType.NO_TARGET_IN_TIME;
            case SILENT_BEFORE_ANSWER, SILENT_IN_ANSWER -> ErrorType.TARGET_SILENT;
            case CANCELLED -> ErrorType.CALLER_GONE;
            case COMPLETED,
                    SERVER_ERROR,
                    SERVER_ERROR_DELIVERED,
                    BROKEN_BEFORE_ANSWER,
                    BROKEN_IN_ANSWER,
                    INVALID_BEFORE_ANSWER,
                    INVALID_IN_ANSWER,
                    NOT_CONTINUABLE -> ErrorType.TARGET_BROKE;
        };
    }

    static long retryAfterMs(TargetOutcome outcome) {
        return outcome.notRun() ? RETRY_AFTER_MS : 0;
    }

    static PlacementEnd placementEnd(TargetOutcome outcome) {
        if (outcome == TargetOutcome.NOT_SENT || outcome == TargetOutcome.NOT_CONTINUABLE) {
            return PlacementEnd.NOT_RUN;
        }
        if (outcome == TargetOutcome.CONNECTION_REFUSED) {
            return PlacementEnd.CONNECTION_REFUSED;
        }
        if (outcome.notRun()) {
            return PlacementEnd.REFUSED;
        }
        if (outcome == TargetOutcome.CANCELLED) {
            return PlacementEnd.GIVEN_UP;
        }
        return outcome.targetFault() ? PlacementEnd.FAILED : PlacementEnd.SERVED;
    }
}
