package org.marjoramswitch.tool.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of one customer's requests.
 *
 * <p>Thread-safety: confined to the thread that drives the load, except for {@link #recordTokenGap}, which I/O threads
 * call.
 */
final class CustomerStatistics {
    private static final long HIGHEST_US = TimeUnit.MINUTES.toMicros(10);
    private static final int DIGITS = 3;

    private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    private final Map<String, Long> failures = new TreeMap<>();
    private final Histogram firstTokenUs = new Histogram(HIGHEST_US, DIGITS);
    private final Histogram totalUs = new Histogram(HIGHEST_US, DIGITS);
    private final Histogram tokenGapUs = new ConcurrentHistogram(HIGHEST_US, DIGITS);
    private long requests;
    private long retries;

    void recordRequest() {
        requests++;
    }

    void recordRetry() {
        retries++;
    }

    void recordOutcome(RequestOutcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /** Counts an attempt that was not answered, by its verdict and detail. */
    void recordFailure(AttemptResult result) {
        failures.merge(result.verdict() + " " + result.detail(), 1L, Long::sum);
    }

    void recordDuration(long totalNs) {
        record(totalUs, totalNs);
    }

    /** @param firstNs time from the request's creation to the first token, failed attempts and delays included */
    void recordFirstToken(long firstNs) {
        record(firstTokenUs, firstNs);
    }

    void recordTokenGap(long gapNs) {
        record(tokenGapUs, gapNs);
    }

    long requests() {
        return requests;
    }

    LoadReport.CustomerReport report(String customer) {
        return new LoadReport.CustomerReport(
                customer,
                requests,
                count(RequestOutcome.ANSWERED),
                count(RequestOutcome.REFUSED_NOT_RUN),
                count(RequestOutcome.UNKNOWN),
                count(RequestOutcome.BROKEN),
                count(RequestOutcome.LOST),
                retries,
                LoadReport.Percentiles.of(firstTokenUs),
                LoadReport.Percentiles.of(tokenGapUs),
                LoadReport.Percentiles.of(totalUs),
                new TreeMap<>(failures));
    }

    private long count(RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    private static void record(Histogram histogram, long valueNs) {
        long valueUs = TimeUnit.NANOSECONDS.toMicros(valueNs);
        histogram.recordValue(Math.max(0, Math.min(HIGHEST_US, valueUs)));
    }
}
