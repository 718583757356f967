package org.marjoramswitch.testkit.bench;

import java.util.Map;
import org.HdrHistogram.Histogram;
import org.marjoramswitch.testkit.bench.CustomerLoad.Group;

/** Measures the wait and response times of requests by customer group, in microseconds. */
final class WaitMeter {
    private static final int DIGITS = 3;
    private static final double P95 = 95;

    private final Histogram ttft = new Histogram(DIGITS);
    private final Histogram othersTtft = new Histogram(DIGITS);
    private final Histogram othersTotal = new Histogram(DIGITS);
    private final Histogram smallWait = new Histogram(DIGITS);

    private WaitMeter() {}

    static WaitMeter create() {
        return new WaitMeter();
    }

    void recordStart(Group group, long waitedUs) {
        if (group == Group.SMALL) {
            smallWait.recordValue(waitedUs);
        }
    }

    void recordFirstToken(Group group, long tookUs) {
        if (group == Group.SERVICE) {
            return;
        }
        ttft.recordValue(tookUs);
        if (group != Group.FLOODING) {
            othersTtft.recordValue(tookUs);
        }
    }

    void recordResponse(Group group, long tookUs) {
        if (group != Group.FLOODING && group != Group.SERVICE) {
            othersTotal.recordValue(tookUs);
        }
    }

    void putInto(Map<Measure, Double> values) {
        values.put(Measure.TTFT_P95_MS, p95Ms(ttft));
        values.put(Measure.OTHERS_TTFT_P95_MS, p95Ms(othersTtft));
        values.put(Measure.OTHERS_TOTAL_P95_MS, p95Ms(othersTotal));
        values.put(Measure.SMALL_WAIT_P95_MS, p95Ms(smallWait));
        values.put(Measure.SMALL_WAIT_MAX_MS, (double) smallWait.getMaxValue() / VirtualClock.US_PER_MS);
    }

    private static double p95Ms(Histogram valuesUs) {
        return (double) valuesUs.getValueAtPercentile(P95) / VirtualClock.US_PER_MS;
    }
}
