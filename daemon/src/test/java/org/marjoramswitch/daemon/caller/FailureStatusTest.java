package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

class FailureStatusTest {
    /** A caller retries after 503 or 429, so a request that may have run must not end with these statuses. */
    @ParameterizedTest
    @EnumSource(ErrorType.class)
    void failureOfRequestThatMayHaveRunIsNot503Or429(ErrorType type) {
        int status = FailureStatus.of(Failure.unknown(type, "")).type().httpStatus();
        assertTrue(status != 503 && status != 429, type + " " + status);
    }

    @Test
    void failureOfRequestThatDidNotRunIs503WithRetryAfter() {
        Failure mapped = FailureStatus.of(Failure.notRun(ErrorType.TARGET_REFUSED, 0, "t1"));
        assertEquals(503, mapped.type().httpStatus());
        assertTrue(mapped.retryAfterMs() > 0);
    }
}
