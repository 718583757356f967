package org.marjoramswitch.kernel.entry;

import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** What the end of one attempt means: for another attempt, for the caller, and for the arbiter. */
final class AttemptRules {
    /** Attempts per request at most, whatever the retry budget holds. */
    private static final int MOST_ATTEMPTS = 4;

    private static final long RETRY_AFTER_MS = 1_000;

    private AttemptRules() {}

    /** Whether a request may be sent once more: where it harms nobody, and there is time for it. */
    static boolean mayRetry(EntryRequest request, TargetOutcome outcome, long nowMs) {
        PlacementSpec placement = request.spec().placement();
        if (request.attempts() >= MOST_ATTEMPTS || nowMs >= request.spec().deadlineMs()) {
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

    static ErrorType errorOf(TargetOutcome outcome) {
        return switch (outcome) {
            case REFUSED -> ErrorType.TARGET_REFUSED;
            case SILENT_BEFORE_ANSWER, SILENT_IN_ANSWER -> ErrorType.TARGET_SILENT;
            case CANCELLED -> ErrorType.CALLER_GONE;
            case COMPLETED, SERVER_ERROR, BROKEN_BEFORE_ANSWER, BROKEN_IN_ANSWER -> ErrorType.TARGET_BROKE;
        };
    }

    static long retryAfterMs(TargetOutcome outcome) {
        return outcome.notRun() ? RETRY_AFTER_MS : 0;
    }

    static PlacementEnd placementEnd(TargetOutcome outcome) {
        if (outcome.notRun()) {
            return PlacementEnd.REFUSED;
        }
        if (outcome == TargetOutcome.CANCELLED) {
            return PlacementEnd.GIVEN_UP;
        }
        return outcome.targetFault() ? PlacementEnd.FAILED : PlacementEnd.SERVED;
    }
}
