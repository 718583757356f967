package org.marjoramswitch.kernel.addresses;

/**
 * The share of its callers that a data centre can carry.
 *
 * <p>The callers' load is not known, only the headroom of the instances. The share therefore follows AIMD (additive
 * increase, multiplicative decrease): it falls with each instance that loses its headroom and rises slowly otherwise.
 * An instance that some callers flood permanently loses its headroom once, so it does not make the others' callers
 * cross to other data centres; instances that the data centre's callers overload lose it again and again.
 */
final class LocalShare {
    /** Decrease when all instances lose their headroom together, in proportion if only a part of them do. */
    private static final double DECREASE = 0.5;
    /**
     * Together with {@link #DECREASE}, about 2% of an overloaded data centre's capacity lose their headroom per second
     * in the long run.
     */
    private static final double RISE_PER_S = 0.01;
    /** While instances recover, the effect of the latest decrease is not known yet. */
    private static final double MIN_HEADROOM_TO_RISE = 0.75;
    /** A longer time without an update, for lack of queries, does not count completely. */
    private static final long MAX_ELAPSED_MS = 2_000;

    private static final double MS_PER_SECOND = 1_000;

    private double share = 1;

    double value() {
        return share;
    }

    /** Whether the data centre can carry all its callers, so that only a loss of headroom can change the share. */
    boolean isComplete() {
        return share >= 1;
    }

    /**
     * Follows the headroom.
     *
     * @param lost share of the data centre's capacity that has lost its headroom since the last update
     * @param local mean headroom of the data centre's instances with headroom, 0 to 1
     * @param others the same of the other data centres
     */
    void update(double lost, double local, double others, long elapsedMs) {
        if (lost > 0 && others > local) {
            share *= 1 - DECREASE * lost;
        } else if (local >= Math.min(MIN_HEADROOM_TO_RISE, others)) {
            double seconds = Math.min(elapsedMs, MAX_ELAPSED_MS) / MS_PER_SECOND;
            share = Math.min(1, share + RISE_PER_S * seconds);
        }
    }
}
