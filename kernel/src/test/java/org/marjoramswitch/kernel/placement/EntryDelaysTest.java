package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.model.InstanceId;

class EntryDelaysTest {
    private static final InstanceId BUSY = InstanceId.of("busy");
    private static final int QUIET_ENTRIES = 6;
    /** A busy entry reports in each step, a quiet one in each thirtieth. */
    private static final int QUIET_INTERVAL = 30;

    private static final long STEP_MS = 10;
    private static final int RANDOM_REPORTS = 3_000;
    private static final double RANDOM_EXCESS_MS = 150;

    private final EntryDelays delays = new EntryDelays();
    private long nowMs = 1_000;
    private int step;

    @Test
    void entryThatReportsLateIsRecognized() {
        run(100, 0, 0);
        run(50, 300, 0);
        assertTrue(delays.isLate(BUSY));
        assertFalse(delays.isLate(quiet(0)));
        run(100, 0, 0);
        assertFalse(delays.isLate(BUSY));
    }

    /** Guards against ignoring that all targets have become slow, because entries with few reports show it later. */
    @Test
    void slowTargetsAreNotTakenForALaggingEntry() {
        run(100, 0, 0);
        run(100, 300, 300);
        assertFalse(delays.isLate(BUSY));
    }

    /** Guards against taking entries for lagging ones where first bytes differ by hundreds of milliseconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void entriesWhoseFirstBytesDifferAreOnTime(long seed) {
        Random random = new Random(seed);
        int late = 0;
        for (int i = 0; i < RANDOM_REPORTS; i++) {
            nowMs += STEP_MS;
            boolean onTime = delays.record(
                    quiet(random.nextInt(QUIET_ENTRIES)), RANDOM_EXCESS_MS * Math.exp(random.nextGaussian()), nowMs);
            late += onTime ? 0 : 1;
        }
        assertTrue(late < 0.02 * RANDOM_REPORTS, late + " of " + RANDOM_REPORTS);
    }

    private void run(int steps, double busyExcessMs, double quietExcessMs) {
        for (int i = 0; i < steps; i++) {
            nowMs += STEP_MS;
            step++;
            delays.record(BUSY, busyExcessMs, nowMs);
            for (int entry = 0; entry < QUIET_ENTRIES; entry++) {
                if ((step + entry) % QUIET_INTERVAL == 0) {
                    delays.record(quiet(entry), quietExcessMs, nowMs);
                }
            }
        }
    }

    private static InstanceId quiet(int number) {
        return InstanceId.of("quiet-" + number);
    }
}
