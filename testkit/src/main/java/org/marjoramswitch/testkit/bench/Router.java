package org.marjoramswitch.testkit.bench;

import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/** A benchmarked policy. Receives the events at the entries and acts through {@link BenchRun}. */
interface Router {
    default void begin() {}

    void arrived(BenchRequest request);

    default void progressed(BenchRequest request, long outputTokens) {}

    void ended(BenchRequest request, int engine, TargetOutcome outcome, Usage usage);

    /** Returns whether the instance currently reads the target's load reports. */
    default boolean readsReports(int instance, int engine) {
        return false;
    }

    /** Delivers a delayed load report of a target to the instance. */
    default void reported(int instance, int engine, LoadReport report) {}

    /** Returns the instance into which a case injects an arbiter fault; any instance if there is no arbiter. */
    int arbiter();

    /** The instance crashes and loses all state. */
    void killed(int instance);

    /** The instance has restarted without state. */
    default void restarted(int instance) {}

    /** The instance is suspended until {@link #resumed}. */
    default void paused(int instance) {}

    default void resumed(int instance) {}

    /** The instance starts its graceful shutdown; {@code onDrained} runs when it holds no requests. */
    void leaving(int instance, Runnable onDrained);

    /** Partitions the instances below {@code firstOfOthers} from the others. */
    default void partitioned(int firstOfOthers) {}

    default void healed() {}

    /** Returns the counts of encoded bytes between instances. */
    default ControlBytes controlBytes() {
        return ControlBytes.NONE;
    }

    /**
     * Returns the bound on the fairness gap that the policy guarantees, or 0 if it guarantees none.
     *
     * @param slotsHeld maximum number of slots that one backlogged customer held concurrently
     * @param largestCostTokens cost of the most expensive request
     */
    default double boundTokens(int slotsHeld, double largestCostTokens) {
        return 0;
    }
}
