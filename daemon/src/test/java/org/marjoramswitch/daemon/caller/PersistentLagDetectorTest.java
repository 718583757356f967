package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PersistentLagDetectorTest {
    private final PersistentLagDetector lag = new PersistentLagDetector();

    @Test
    void instanceThatIsAlwaysLateIsLagging() {
        late(400, 900, 70);
        assertTrue(lag.isPersistent());
    }

    /** A garbage collection of 100 ms, after which the delayed work is processed. */
    @Test
    void singlePauseIsNotPersistentLag() {
        late(0, 110, 70, 10, 0);
        assertFalse(lag.isPersistent());
    }

    /** A processor quota that is exhausted in each period of 100 ms: late by up to 64 ms, then on time. */
    @Test
    void exhaustedProcessorQuotaIsNotPersistentLag() {
        for (int i = 0; i < 10; i++) {
            late(64, 0);
            assertFalse(lag.isPersistent());
        }
    }

    /** Rejections reduce the load; the instance accepts requests again as soon as it is on time. */
    @Test
    void firstSampleOnTimeEndsPersistentLag() {
        late(400, 400, 400);
        late(5);
        assertFalse(lag.isPersistent());
        late(400, 400);
        assertFalse(lag.isPersistent());
    }

    private void late(long... samplesMs) {
        for (long lateMs : samplesMs) {
            lag.sample(lateMs);
        }
    }
}
