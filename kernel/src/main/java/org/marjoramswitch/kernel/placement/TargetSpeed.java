package org.marjoramswitch.kernel.placement;

/**
 * Learns how much longer one target takes for the same work than its pool.
 *
 * <p>An observation is the logarithm of a measured time relative to the time that the pool's model predicts for the
 * same work. The difference between the mean of a target and that of the pool is the target's slowness. The observations
 * of a few seconds count, so that chance has little influence. If the newest ones differ from those significantly, the
 * target's speed has changed and only the newest ones count.
 *
 * <p>A difference that chance could explain is no difference: a pool of even targets is served as if their speeds were
 * not observed. Beyond that, the difference is reduced by a term that vanishes with growing evidence (non-negative
 * garrote), so that the estimate is continuous and single observations do not move it back and forth.
 *
 * <p>Cost: constant time for an observation and for an estimate. Not thread-safe.
 */
final class TargetSpeed {
    /** Some tens of observations at ten per second, with which a difference of a fifth is significant. */
    private static final double MEMORY_MS = 4_000;
    /** A changed speed must be reflected within two seconds, so most of these observations must be newer than one. */
    private static final double RECENT_MS = 600;
    /**
     * A single time beyond this factor counts as this factor. Reports that are late by several times their time would
     * otherwise outweigh many that are on time.
     */
    private static final double MAX_FACTOR = 4;
    /** The assumed deviation of an observation, which is that of first bytes behind long prompts. */
    private static final double PRIOR_DEVIATION = 0.5;

    private static final double PRIOR_OBSERVATIONS = 4;
    /**
     * Standard errors beyond which a difference is significant. Successive observations of a target depend on each
     * other, since they wait for the same prompts, so that this is less than it would be for independent ones.
     */
    private static final double SIGNIFICANT_ERRORS = 3;

    /** One slow response is no evidence, whatever its time: it may have been the first one of a connection or a process. */
    private static final double MIN_OBSERVATIONS = 2;
    /** A smaller change is not worth a log line. */
    private static final double REPORTED_FACTOR = 1.25;

    /** Standard errors of the newest observations beyond which they show a change of the speed. */
    private static final double CHANGE_ERRORS = 3;
    /** Fewer recent observations do not show a change. */
    private static final double MIN_RECENT_OBSERVATIONS = 2.5;

    /**
     * The resolution of measured times, added to both times of a comparison. Without it, a target that responds within a
     * millisecond would seem many times faster than one that takes one.
     */
    private static final double RESOLUTION_MS = 1;

    private final DecayedSample pool;
    private final DecayedSample own = new DecayedSample(MEMORY_MS);
    private final DecayedSample recent = new DecayedSample(RECENT_MS);
    private double reportedSlowness = 1;
    /** The latest estimate, which is used many times in one pass. */
    private double slowness = 1;

    private long estimatedAtMs = Long.MIN_VALUE;

    private TargetSpeed(DecayedSample pool) {
        this.pool = pool;
    }

    /** @param pool receives the observations of all targets of the pool */
    static TargetSpeed create(DecayedSample pool) {
        return new TargetSpeed(pool);
    }

    /** Creates the sample that the targets of a pool share. */
    static DecayedSample poolSample() {
        return new DecayedSample(MEMORY_MS);
    }

    /** Records a measured time. */
    void observe(double elapsedMs, double expectedMs, long nowMs) {
        double factor = (elapsedMs + RESOLUTION_MS) / (expectedMs + RESOLUTION_MS);
        double limited = Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, factor));
        double value = Math.log(limited);
        pool.add(value, nowMs);
        own.add(value, nowMs);
        recent.add(value, nowMs);
        estimatedAtMs = Long.MIN_VALUE;
        double difference = Math.abs(recent.mean() - own.mean());
        if (recent.weight(nowMs) >= MIN_RECENT_OBSERVATIONS
                && difference > CHANGE_ERRORS * standardError(recent, nowMs)) {
            own.copyFrom(recent);
        }
    }

    /** The time that the target takes for its work relative to the pool; 1 unless the difference is significant. */
    double slowness(long nowMs) {
        if (nowMs != estimatedAtMs) {
            slowness = estimate(nowMs);
            estimatedAtMs = nowMs;
        }
        return slowness;
    }

    private double estimate(long nowMs) {
        double difference = own.mean() - pool.mean();
        double error = SIGNIFICANT_ERRORS * standardError(own, nowMs);
        if (own.weight(nowMs) < MIN_OBSERVATIONS || Math.abs(difference) <= error) {
            return 1;
        }
        double share = error / difference;
        return Math.exp(difference * (1 - share * share));
    }

    /**
     * Marks a change of the slowness as reported.
     *
     * @return whether the slowness differs from the last reported one by a factor of more than {@value #REPORTED_FACTOR},
     *     or is that of the pool again
     */
    boolean reportChange(long nowMs) {
        double present = slowness(nowMs);
        double factor = Math.max(present / reportedSlowness, reportedSlowness / present);
        if (factor <= REPORTED_FACTOR && (present != 1 || reportedSlowness == 1)) {
            return false;
        }
        reportedSlowness = present;
        return true;
    }

    /** The number of observations, each counted by its decayed weight. */
    double observations(long nowMs) {
        return own.weight(nowMs);
    }

    /** The time that the target takes for work that takes the pool {@code poolMs}. */
    double expectedMs(double poolMs, long nowMs) {
        return Math.max(0, slowness(nowMs) * (poolMs + RESOLUTION_MS) - RESOLUTION_MS);
    }

    private static double standardError(DecayedSample sample, long nowMs) {
        double weight = sample.weight(nowMs);
        double squares = sample.squaredDeviations(nowMs) + PRIOR_OBSERVATIONS * PRIOR_DEVIATION * PRIOR_DEVIATION;
        double variance = squares / (weight + PRIOR_OBSERVATIONS);
        return Math.sqrt(variance / Math.max(1e-9, weight));
    }
}
