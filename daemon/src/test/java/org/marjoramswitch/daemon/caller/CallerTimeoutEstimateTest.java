package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CallerTimeoutEstimateTest {
    private final CallerTimeoutEstimate estimate = new CallerTimeoutEstimate();

    @Test
    void firstAttemptHasElapsedZero() {
        for (int i = 0; i < 300; i++) {
            assertEquals(0, estimate.elapsedMs(15_000));
        }
    }

    @Test
    void retryHasElapsedDifferenceToInitialTimeout() {
        estimate.elapsedMs(15_000);
        estimate.elapsedMs(15_000);
        assertEquals(1_100, estimate.elapsedMs(13_900));
        assertEquals(1_207, estimate.elapsedMs(13_793));
    }

    /** A few callers with a longer timeout than the others must not make all others look like retries. */
    @Test
    void mostFrequentTimeoutCountsNotTheLargest() {
        for (int i = 0; i < 50; i++) {
            estimate.elapsedMs(2_500);
            if (i % 10 == 0) {
                estimate.elapsedMs(7_500);
            }
        }
        assertEquals(0, estimate.elapsedMs(2_500));
        assertEquals(0, estimate.elapsedMs(7_500));
    }

    @Test
    void missingTimeoutHasElapsedZero() {
        assertEquals(0, estimate.elapsedMs(0));
    }
}
