package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PersistentLagDetectorTest {
    private final PersistentLagDetector lag = new PersistentLagDetector();

    @Test
    void anInstanceThatIsLateAllTheTimeIsBehind() {
        late(400, 900, 70);
        assertTrue(lag.isStanding());
    }

    /** A collection of a tenth of a second, with what came meanwhile worked off after it. */
    @Test
    void aPauseIsNoLag() {
        late(0, 110, 70, 10, 0);
        assertFalse(lag.isStanding());
    }

    /** A processor whose share is used up for the rest of each tenth of a second: late by up to 64 ms, then on time. */
    @Test
    void aSharedProcessorIsNoLag() {
        for (int i = 0; i < 10; i++) {
            late(64, 0);
            assertFalse(lag.isStanding());
        }
    }

    /** Refusals take the load away; the instance takes requests again as soon as it is on time. */
    @Test
    void theFirstSampleOnTimeEndsIt() {
        late(400, 400, 400);
        late(5);
        assertFalse(lag.isStanding());
        late(400, 400);
        assertFalse(lag.isStanding());
    }

    private void late(long... samplesMs) {
        for (long lateMs : samplesMs) {
            lag.sample(lateMs);
        }
    }
}
