package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Targets that rejected a request with a Retry-After; not selected until the delay has elapsed. Further requests would
 * be rejected too: callers would wait longer, and a retry would be spent without effect.
 */
final class TargetBackoffs {
    private final TreeMap<TargetId, Long> untilMs = new TreeMap<>();

    /**
     * Starts or extends a backoff; false if the target was already in one. A shorter backoff does not end a longer one.
     */
    boolean add(TargetId target, long backoffUntilMs, long nowMs) {
        boolean wasBackedOff = isBackedOff(target, nowMs);
        untilMs.merge(target, backoffUntilMs, Math::max);
        return !wasBackedOff;
    }

    boolean isBackedOff(TargetId target, long nowMs) {
        return untilMs.getOrDefault(target, nowMs) > nowMs;
    }

    Set<TargetId> backedOffTargets(long nowMs) {
        Set<TargetId> backedOff = new TreeSet<>(untilMs.keySet());
        backedOff.removeIf(target -> !isBackedOff(target, nowMs));
        return backedOff;
    }

    /** Time until the first of these targets may be used again; 0 if one may be used now or the collection is empty. */
    long remainingMs(Collection<TargetId> targets, long nowMs) {
        return targets.stream()
                .mapToLong(target -> Math.max(0, untilMs.getOrDefault(target, nowMs) - nowMs))
                .min()
                .orElse(0);
    }

    /** Removes elapsed backoffs; true if there were any. */
    boolean expire(long nowMs) {
        return untilMs.values().removeIf(backoffUntilMs -> backoffUntilMs <= nowMs);
    }
}
