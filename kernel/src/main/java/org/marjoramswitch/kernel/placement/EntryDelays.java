package org.marjoramswitch.kernel.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
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
 * <p>First bytes differ between requests, at some targets by hundreds of milliseconds. An entry is therefore late only
 * if its mean exceeds that of the others by more than single reports deviate from their means. If entries on time were
 * taken for late ones, their prompts would not count as pending, and targets would get more than they can prefill.
 *
 * <p>Cost: constant time for a report; every {@value #REFRESH_MS} ms the entries are sorted. Not thread-safe.
 */
final class EntryDelays {
    /** The entries that must be on time for the others to be recognized, as a share. */
    private static final double BASELINE_QUANTILE = 0.25;
    /** Minimum excess of a late entry's mean over the baseline, in standard deviations of a report. */
    private static final double MIN_DEVIATIONS = 1;
    /** Additional excess, in standard errors of the mean: few reports may be far above it by chance. */
    private static final double STANDARD_ERRORS = 2;
    /**
     * Time constant of the averages. Entries report at very different rates; with a fixed weight of the newest report,
     * those with few reports would keep the baseline low after all targets have become slow.
     */
    private static final double MEMORY_MS = 500;

    private static final long REFRESH_MS = 100;

    private final Map<InstanceId, Delay> delays = new HashMap<>();
    private Delay baseline = Delay.NONE;
    private long refreshAtMs = Long.MIN_VALUE;

    /** Exponential averages of reports, by their age. */
    private record Delay(double sumMs, double sumSquaresMs2, double weight, long reportedAtMs) {
        private static final Delay NONE = new Delay(0, 0, 0, 0);

        Delay plus(double excessMs, long nowMs) {
            double decay = Math.exp((reportedAtMs - nowMs) / MEMORY_MS);
            return new Delay(
                    decay * sumMs + excessMs, decay * sumSquaresMs2 + excessMs * excessMs, decay * weight + 1, nowMs);
        }

        double meanMs() {
            return weight == 0 ? 0 : sumMs / weight;
        }

        /** The sum of the squared deviations from the mean. */
        double squaredDeviationsMs2() {
            return Math.max(0, sumSquaresMs2 - meanMs() * sumMs);
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
            baseline = baseline(nowMs);
            refreshAtMs = nowMs + REFRESH_MS;
        }
        return !isLate(entry);
    }

    /** Whether the entry's latest reports were late. */
    boolean isLate(InstanceId entry) {
        Delay known = delays.get(entry);
        return known != null && known.meanMs() - baseline.meanMs() > toleranceMs(known);
    }

    void remove(InstanceId entry) {
        delays.remove(entry);
    }

    private double toleranceMs(Delay entry) {
        double variance =
                (entry.squaredDeviationsMs2() + baseline.squaredDeviationsMs2()) / (entry.weight() + baseline.weight());
        return Math.sqrt(variance) * (MIN_DEVIATIONS + STANDARD_ERRORS / Math.sqrt(entry.weight()));
    }

    /** The entry at the quantile among those that have reported lately. */
    private Delay baseline(long nowMs) {
        List<Delay> sorted = delays.values().stream()
                .filter(delay -> nowMs - delay.reportedAtMs() <= MEMORY_MS)
                .sorted(Comparator.comparingDouble(Delay::meanMs))
                .toList();
        return sorted.get((int) (BASELINE_QUANTILE * (sorted.size() - 1)));
    }
}
