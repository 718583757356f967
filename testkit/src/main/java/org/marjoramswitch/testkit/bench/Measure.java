package org.marjoramswitch.testkit.bench;

import java.util.Locale;

/** Measures of one policy in one case, in the order of the fields of a result line. */
public enum Measure {
    /** See {@link ServiceMeter}. */
    FAIRNESS_GAP_TOKENS(0, Aggregation.HIGHEST),
    /** Bound on the gap that the policy guarantees; 0 if it guarantees none. */
    BOUND_TOKENS(0, Aggregation.HIGHEST),
    /** Ratio of busy slot time to slot time while requests are waiting. */
    UTILISATION(4, Aggregation.LOWEST),
    /** Encoded bytes between instances, each counted once, per answered request. */
    CONTROL_BYTES_PER_REQUEST(1, Aggregation.HIGHEST),
    /** Bytes sent and received per second, mean over the instances. */
    CONTROL_BYTES_PER_INSTANCE_S(0, Aggregation.HIGHEST),
    /** Bytes sent and received per second, of the instance with the most. */
    CONTROL_BYTES_WORST_INSTANCE_S(0, Aggregation.HIGHEST),
    /**
     * Frames sent and received per second, mean over the instances. TCP and IP headers of the frames are not included.
     */
    CONTROL_FRAMES_PER_INSTANCE_S(0, Aggregation.HIGHEST),
    /** Time from the arrival at the entry to the first token there; model pools only. */
    TTFT_P95_MS(1, Aggregation.HIGHEST),
    /** Fraction of the time in which requests were waiting. */
    WORK_WAITS_SHARE(3, Aggregation.LOWEST),
    /** Time from the arrival of a small customer's request until a target starts it. */
    SMALL_WAIT_P95_MS(1, Aggregation.HIGHEST),
    SMALL_WAIT_MAX_MS(1, Aggregation.HIGHEST),
    /** Bound on the wait of small customers, derived from the bound on the gap; 0 if the policy guarantees none. */
    SMALL_WAIT_BOUND_MS(0, Aggregation.HIGHEST),
    /** Time to first token of all customers except a flooding one. */
    OTHERS_TTFT_P95_MS(1, Aggregation.HIGHEST),
    /** Time to the complete response of all customers except a flooding one. */
    OTHERS_TOTAL_P95_MS(1, Aggregation.HIGHEST),
    /** Ratio of OTHERS_TTFT_P95_MS to its value without the flood; 0 if the case has no flood. */
    OTHERS_TTFT_RATIO(2, Aggregation.HIGHEST),
    /** Ratio of OTHERS_TOTAL_P95_MS to its value without the flood; 0 if the case has no flood. */
    OTHERS_TOTAL_RATIO(2, Aggregation.HIGHEST),
    /** Requests in the complete run; the counts that follow also cover the complete run. */
    REQUESTS(0, Aggregation.SUM),
    ANSWERED(0, Aggregation.SUM),
    REFUSED_NOT_RUN(0, Aggregation.SUM),
    /** Requests whose own entry was killed. */
    CALLERS_LOST(0, Aggregation.SUM),
    /** Requests that never ended although their entry was not killed. */
    LOST(0, Aggregation.SUM),
    /** Requests that ended more than once, or were started more than once although not repeatable. */
    DOUBLED(0, Aggregation.SUM);

    private final int decimals;
    private final Aggregation aggregation;

    Measure(int decimals, Aggregation aggregation) {
        this.decimals = decimals;
        this.aggregation = aggregation;
    }

    /** Returns the name of the field in a result line. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the worse of two seeds' values, or the sum for counts. */
    double merge(double one, double other) {
        return switch (aggregation) {
            case HIGHEST -> Math.max(one, other);
            case LOWEST -> Math.min(one, other);
            case SUM -> one + other;
        };
    }

    String format(double value) {
        return String.format(Locale.ROOT, "%." + decimals + "f", value);
    }

    private enum Aggregation {
        HIGHEST,
        LOWEST,
        SUM
    }
}
