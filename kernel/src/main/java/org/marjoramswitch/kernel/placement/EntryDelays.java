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
 * <p>Cost: constant time for a report; every {@value #REFRESH_MS} ms the entries are sorted. Not thread-safe.
 */
final class EntryDelays {
    /** Averages of entries on time differ by less. */
    private static final double TOLERANCE_MS = 40;
    /** The entries that must be on time for the others to be recognized, as a share. */
    private static final double BASELINE_QUANTILE = 0.25;
    /**
     * Time constant of the averages. Entries report at very different rates; with a fixed weight of the newest report,
     * those with few reports would keep the baseline low after all targets have become slow.
     */
    private static final double MEMORY_MS = 500;

    private static final long REFRESH_MS = 100;

    private final Map<InstanceId, Delay> delays = new HashMap<>();
    private double baselineMs;
    private long refreshAtMs = Long.MIN_VALUE;

    /** Exponential average of an entry's reports, by their age. */
    private record Delay(double sumMs, double weight, long reportedAtMs) {
        private static final Delay NONE = new Delay(0, 0, 0);

        Delay plus(double excessMs, long nowMs) {
            double decay = Math.exp((reportedAtMs - nowMs) / MEMORY_MS);
            return new Delay(decay * sumMs + excessMs, decay * weight + 1, nowMs);
        }

        double meanMs() {
            return sumMs / weight;
        }
    }

    /**
     * Records a report of an entry; returns whether the entry reports on time.
     *
     * @param excessMs the reported time to first byte less the expected one
     */
    boolean record(InstanceId entry, double excessMs, long nowMs) {
        delays.put(entry, delays.getOrDefault(entry, Delay.NONE).plus(excessMs, nowMs));
        if (nowMs >= refreshAtMs) {
            baselineMs = baselineMs(nowMs);
            refreshAtMs = nowMs + REFRESH_MS;
        }
        return !isLate(entry);
    }

    /** Whether the entry's latest reports were late. */
    boolean isLate(InstanceId entry) {
        Delay known = delays.get(entry);
        return known != null && known.meanMs() > baselineMs + TOLERANCE_MS;
    }

    void remove(InstanceId entry) {
        delays.remove(entry);
    }

    private double baselineMs(long nowMs) {
        double[] sorted = delays.values().stream()
                .filter(delay -> nowMs - delay.reportedAtMs() <= MEMORY_MS)
                .mapToDouble(Delay::meanMs)
                .sorted()
                .toArray();
        return sorted[(int) (BASELINE_QUANTILE * (sorted.length - 1))];
    }
}
