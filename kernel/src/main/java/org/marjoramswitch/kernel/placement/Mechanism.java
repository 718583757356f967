package org.marjoramswitch.kernel.placement;

import java.util.Locale;
import java.util.Optional;

/** A mechanism that can be switched off to measure its benefit. */
public enum Mechanism {
    /** Engines fetch prompt parts from engines that have prefilled them. */
    FETCHING,
    /** A session that no engine has cached goes to the engine selected by rendezvous hashing. */
    SESSION_HOME,
    /** In the cost of a target, prefill time counts several times as much as waiting time. */
    READING_WEIGHT,
    /** In a full pool, a request is not sent to a target that would spend much more time on it than the best one. */
    DEAR_TARGETS,
    /** Customers with low demand catch up to an even share of the last seconds. */
    EVEN_SHARE,
    /** Large requests wait in the queue while they are served less often than others. */
    SIZE_BALANCE,
    /** Late requests are held for targets with spare capacity. */
    LATE_HOLDING,
    /** A request that cannot be started in time is rejected on arrival. */
    EARLY_REFUSAL,
    /** Late requests of a customer that is served much less than others take their turn among those in time. */
    LATE_SHARE,
    /** First bytes that an entry reports late are not learned from, and its prompts do not count as pending. */
    ENTRY_DELAYS,
    /** An arbiter that lags rejects requests immediately. */
    LAG_REJECTION,
    /**
     * Where engine memory is scarce, shared prompt parts count once, output counts with its expected length, and cached
     * parts have only the memory that running requests leave.
     */
    ENGINE_MEMORY,
    /** The speed of each target is learned, and choices and estimates use it. */
    TARGET_SPEED,
    /** Targets that fail several requests in a row are excluded for a while. */
    OUTLIER_EJECTION,
    /** Requests rejected together receive different retry delays. */
    RETRY_SPREAD,
    /** A lagging instance with a small processor rejects requests by a shorter path. */
    REJECTION_COST,
    /** An instance with a small processor admits a part of its requests while it lags; decided before the placement. */
    ADMISSION_CONTROL;

    /** Finds a mechanism by its name in settings and on command lines: lower case, words joined by hyphens. */
    public static Optional<Mechanism> named(String name) {
        for (Mechanism mechanism : values()) {
            if (mechanism.toString().equals(name)) {
                return Optional.of(mechanism);
            }
        }
        return Optional.empty();
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
