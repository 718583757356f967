package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * The targets that want nothing from this instance for a while, as they said when they turned a request of it away. What
 * is sent there all the same is turned away too: its caller waits longer, and a second send is spent for nothing.
 */
final class TargetBackoffs {
    private final TreeMap<TargetId, Long> untilMs = new TreeMap<>();

    /** A target asks for rest; false where it is known to rest. A shorter wish does not end a longer one. */
    boolean add(TargetId target, long restUntilMs, long nowMs) {
        boolean known = isResting(target, nowMs);
        untilMs.merge(target, restUntilMs, Math::max);
        return !known;
    }

    boolean isResting(TargetId target, long nowMs) {
        return untilMs.getOrDefault(target, nowMs) > nowMs;
    }

    Set<TargetId> resting(long nowMs) {
        Set<TargetId> resting = new TreeSet<>(untilMs.keySet());
        resting.removeIf(target -> !isResting(target, nowMs));
        return resting;
    }

    /** Until the first of these targets may be asked again; 0 where one may be now, or there is none. */
    long leftMs(Collection<TargetId> targets, long nowMs) {
        return targets.stream()
                .mapToLong(target -> Math.max(0, untilMs.getOrDefault(target, nowMs) - nowMs))
                .min()
                .orElse(0);
    }

    /** Forgets the rests that are over; true where there were any. */
    boolean expire(long nowMs) {
        return untilMs.values().removeIf(restUntilMs -> restUntilMs <= nowMs);
    }
}
