package org.marjoramswitch.tool.load;

import org.marjoramswitch.tool.http.CallEnd;

/**
 * Decides whether and how a caller retries a request.
 *
 * <p>After a "not run" response, any request may be executed again. After a timeout or a broken connection the caller
 * retries with the same key: this never causes a second execution, so it is safe for every request. A request whose
 * outcome the fleet reports as unknown is executed again only if it is repeatable.
 *
 * <p>A response that is framed as complete but truncated, or that belongs to another request, is never retried: a
 * caller without this tool's checks would not notice it, so a retry would hide the fault.
 */
@FunctionalInterface
interface RetryPolicy {
    Next next(OpenRequest request, AttemptResult result);

    /** The next step, to be taken after {@code delayMs}. */
    record Next(Step step, long delayMs) {
        static final Next STOP = new Next(Step.STOP, 0);
    }

    /** Ways to continue after a failed attempt. */
    enum Step {
        STOP,
        /** Send the request as a new execution, with a new key. */
        NEW_KEY,
        /** Send it again with the same key, to the key's home instance or, if that is unreachable, to another one. */
        SAME_KEY
    }

    /** Returns the policy that obeys Retry-After, or else backs off linearly by {@code backoffMs} per attempt. */
    static RetryPolicy standard(int maxAttempts, long backoffMs) {
        return (request, result) -> {
            if (result.verdict() == AttemptVerdict.ANSWERED || request.attempts() >= maxAttempts) {
                return Next.STOP;
            }
            long delayMs = result.retryAfterMs() >= 0 ? result.retryAfterMs() : backoffMs * request.attempts();
            return new Next(step(request, result), delayMs);
        };
    }

    private static Step step(OpenRequest request, AttemptResult result) {
        return switch (result.verdict()) {
            case ANSWERED, TRUNCATED, CROSSED -> Step.STOP;
            case NOT_RUN -> afterNotRun(request, result);
            case BROKEN, SILENT -> request.isKeyed() ? Step.SAME_KEY : newKeyIfRepeatable(request);
            case MARKED -> newKeyIfRepeatable(request);
            case UNKNOWN -> afterUnknown(request, result);
        };
    }

    private static Step afterNotRun(OpenRequest request, AttemptResult result) {
        if (result.end() == CallEnd.NOT_CONNECTED) {
            return request.isKeyed() && request.mayHaveRun() ? Step.SAME_KEY : Step.NEW_KEY;
        }
        boolean clientError = result.status() >= 400 && result.status() < 500;
        boolean sameBytesRefusedAgain = clientError && result.retryAfterMs() < 0 && !result.saysKeyDead();
        return sameBytesRefusedAgain ? Step.STOP : Step.NEW_KEY;
    }

    /** A repeatable request is executed again without waiting for its key's outcome; any other one retries the key. */
    private static Step afterUnknown(OpenRequest request, AttemptResult result) {
        if (request.isKeyed() && result.isRedirect()) {
            return Step.SAME_KEY;
        }
        if (request.isKeyed() && !request.plan().repeatable() && result.retryAfterMs() >= 0) {
            return Step.SAME_KEY;
        }
        return newKeyIfRepeatable(request);
    }

    private static Step newKeyIfRepeatable(OpenRequest request) {
        return request.plan().repeatable() ? Step.NEW_KEY : Step.STOP;
    }
}
