package org.marjoramswitch.tool.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class DemoMeterTest {
    private static final int SLOTS = 4;
    private static final long WARM = DemoMeter.WARM_UP_MS;
    private static final Map<String, Integer> TWO_EACH = Map.of("a", 2, "b", 2);

    /** @param outstanding requests of each customer; two requests of each are running */
    private static DemoSample sample(double busyMs, double idleMs, long tokensOfA, long tokensOfB, int outstanding) {
        return new DemoSample(
                busyMs,
                idleMs,
                Map.of("a", tokensOfA, "b", tokensOfB),
                TWO_EACH,
                Map.of("a", outstanding, "b", outstanding));
    }

    @Test
    void countsSlotTimeOnlyWhileWorkWaits() {
        DemoMeter meter = DemoMeter.create(SLOTS, sample(0, 0, 0, 0, 2));
        meter.addSample(sample(10, 30, 0, 0, 2), WARM);
        meter.addSample(sample(20, 60, 0, 0, 3), WARM);
        meter.addSample(sample(110, 70, 0, 0, 3), WARM);
        meter.addSample(sample(120, 100, 0, 0, 2), WARM);
        assertEquals(0.9, meter.utilisation(), 1e-9);
    }

    @Test
    void measuresTheGapGainedWhileBothWereBacklogged() {
        DemoMeter meter = DemoMeter.create(SLOTS, sample(0, 0, 0, 0, 3));
        meter.addSample(sample(0, 0, 105, 100, 3), WARM);
        meter.addSample(sample(0, 0, 209, 200, 3), WARM);
        meter.addSample(sample(0, 0, 302, 300, 3), WARM);
        assertEquals(7, meter.gapTokens());
        assertEquals("a,b", meter.gapBetween());
    }

    @Test
    void excludesTheWarmUpFromTheGap() {
        DemoMeter meter = DemoMeter.create(SLOTS, sample(0, 0, 0, 0, 3));
        meter.addSample(sample(0, 0, 100, 100, 3), 0);
        meter.addSample(sample(0, 0, 900, 100, 3), WARM - 1);
        meter.addSample(sample(0, 0, 1_000, 100, 3), WARM);
        meter.addSample(sample(0, 0, 1_003, 100, 3), WARM + 50);
        assertEquals(3, meter.gapTokens());
    }

    @Test
    void restartsTheGapAfterABreakInTheBacklog() {
        DemoMeter meter = DemoMeter.create(SLOTS, sample(0, 0, 0, 0, 3));
        meter.addSample(sample(0, 0, 100, 100, 3), WARM);
        meter.addSample(sample(0, 0, 900, 100, 2), WARM);
        meter.addSample(sample(0, 0, 1_000, 100, 3), WARM);
        meter.addSample(sample(0, 0, 1_010, 105, 3), WARM);
        assertEquals(5, meter.gapTokens());
    }
}
