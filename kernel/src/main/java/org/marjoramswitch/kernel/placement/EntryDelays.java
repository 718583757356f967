package org.marjoramswitch.kernel.placement;

import java.util.HashMap;
import java.util.Map;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Detects entry instances that report first bytes late.
 *
 * <p>An entry that lags sends requests late and reads responses late, so first bytes seem to take long at all targets.
 * If the arbiter learned from its reports, it would expect late first bytes everywhere and reject requests of all
 * customers that could be in time. Real delays at the targets show in the reports of all entries, so an entry is compared
 * with those that report the shortest delays.
 *
 * <p>Cost: constant time for a report; the comparison is refreshed every {@value #REFRESH_MS} ms in the order of the
 * entries. Not thread-safe.
 */
final class EntryDelays {
    /** Weight of the newest report in an exponential moving average. */
    private static final double GAIN = 0.1;
    /** Averages of entries on time differ by less. */
    private static final double TOLERANCE_MS = 40;
    /** The entries that must be on time for the others to be recognized, as a share. */
    private static final double BASELINE_QUANTILE = 0.25;

    private static final long REFRESH_MS = 100;

    private final Map<InstanceId, Double> meanExcessMs = new HashMap<>();
    private double baselineMs;
    private long refreshAtMs = Long.MIN_VALUE;

    /**
     * Records a report of an entry; returns whether the entry reports on time.
     *
     * @param excessMs the reported time to first byte less the expected one
     */
    boolean record(InstanceId entry, double excessMs, long nowMs) {
        double meanMs = meanExcessMs.getOrDefault(entry, excessMs);
        meanMs += GAIN * (excessMs - meanMs);
        meanExcessMs.put(entry, meanMs);
        if (nowMs >= refreshAtMs) {
            baselineMs = quantile();
            refreshAtMs = nowMs + REFRESH_MS;
        }
        return !isLate(entry);
    }

    /** Whether the entry's latest reports were late. */
    boolean isLate(InstanceId entry) {
        return meanExcessMs.getOrDefault(entry, baselineMs) > baselineMs + TOLERANCE_MS;
    }

    void remove(InstanceId entry) {
        meanExcessMs.remove(entry);
    }

    private double quantile() {
        double[] sorted = meanExcessMs.values().stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return sorted[(int) (BASELINE_QUANTILE * (sorted.length - 1))];
    }
}
