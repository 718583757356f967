package org.marjoramswitch.tool.load;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * Results of a load by customer.
 *
 * @param notMade open-loop arrivals that were dropped because the limit of outstanding requests was reached
 */
public record LoadReport(String scenario, long seed, long durationMs, long notMade, List<CustomerReport> customers) {
    public long requests() {
        return sum(CustomerReport::requests);
    }

    public long answered() {
        return sum(CustomerReport::answered);
    }

    public long refusedNotRun() {
        return sum(CustomerReport::refusedNotRun);
    }

    public long unknown() {
        return sum(CustomerReport::unknown);
    }

    public long broken() {
        return sum(CustomerReport::broken);
    }

    public long lost() {
        return sum(CustomerReport::lost);
    }

    public long retries() {
        return sum(CustomerReport::retries);
    }

    private long sum(ToLongFunction<CustomerReport> count) {
        return customers.stream().mapToLong(count).sum();
    }

    /**
     * Results of one customer. The five outcomes add up to {@code requests}.
     *
     * @param troubles number of failed attempts, retried ones included, by verdict and detail
     */
    public record CustomerReport(
            String customer,
            long requests,
            long answered,
            long refusedNotRun,
            long unknown,
            long broken,
            long lost,
            long retries,
            Percentiles firstToken,
            Percentiles betweenTokens,
            Percentiles total,
            Map<String, Long> troubles) {}

    /** Percentiles of a duration; all 0 if {@code count} is 0. */
    public record Percentiles(long count, double p50Ms, double p95Ms, double p99Ms, double maxMs) {
        private static final double MICROS_PER_MILLI = 1_000.0;

        static Percentiles of(Histogram histogramUs) {
            return new Percentiles(
                    histogramUs.getTotalCount(),
                    histogramUs.getValueAtPercentile(50) / MICROS_PER_MILLI,
                    histogramUs.getValueAtPercentile(95) / MICROS_PER_MILLI,
                    histogramUs.getValueAtPercentile(99) / MICROS_PER_MILLI,
                    histogramUs.getMaxValue() / MICROS_PER_MILLI);
        }
    }
}
