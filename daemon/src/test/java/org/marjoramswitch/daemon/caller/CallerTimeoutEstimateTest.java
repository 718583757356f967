package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CallerTimeoutEstimateTest {
    private final CallerTimeoutEstimate patience = new CallerTimeoutEstimate();

    @Test
    void aFirstTryHasWaitedForNothing() {
        for (int i = 0; i < 300; i++) {
            assertEquals(0, patience.elapsedMs(15_000));
        }
    }

    @Test
    void aTryThatComesAgainHasWaitedForTheDifference() {
        patience.elapsedMs(15_000);
        patience.elapsedMs(15_000);
        assertEquals(1_100, patience.elapsedMs(13_900));
        assertEquals(1_207, patience.elapsedMs(13_793));
    }

    /** Few callers with more patience than the others must not make all the others look late. */
    @Test
    void theUsualValueCountsAndNotTheLargest() {
        for (int i = 0; i < 50; i++) {
            patience.elapsedMs(2_500);
            if (i % 10 == 0) {
                patience.elapsedMs(7_500);
            }
        }
        assertEquals(0, patience.elapsedMs(2_500));
        assertEquals(0, patience.elapsedMs(7_500));
    }

    @Test
    void aCallerThatNamesNothingSaysNothing() {
        assertEquals(0, patience.elapsedMs(0));
    }
}
