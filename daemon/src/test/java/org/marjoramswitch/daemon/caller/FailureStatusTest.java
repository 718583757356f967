package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

class FailureStatusTest {
    /** A caller that is told 503 or 429 sends its request again; one that may have run must not be told so. */
    @ParameterizedTest
    @EnumSource(ErrorType.class)
    void whatMayHaveRunIsNeverPromisedNotToHave(ErrorType type) {
        int status = FailureStatus.of(Failure.unknown(type, "")).type().httpStatus();
        assertTrue(status != 503 && status != 429, type + " " + status);
    }

    @Test
    void whatDidNotRunIsSaidSo() {
        Failure told = FailureStatus.of(Failure.notRun(ErrorType.TARGET_REFUSED, 0, "t1"));
        assertEquals(503, told.type().httpStatus());
        assertTrue(told.retryAfterMs() > 0);
    }
}
