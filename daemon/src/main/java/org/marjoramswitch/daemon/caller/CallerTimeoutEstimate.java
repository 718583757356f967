package org.marjoramswitch.daemon.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells from how long a caller will wait how long it has waited already. Callers of one route begin with the same
 * patience and name what is left of it when they come again, so the value that is named most often is that of first
 * tries, and one that is less by some was named by a caller that came before.
 *
 * <p>Without it a request that was refused and comes back looks like a new one: under overload half of all places went to
 * requests that were late already, and as many new ones were made late by that. A caller with a short patience of its
 * own is taken for one that comes back; it is served after the others and no worse.
 */
final class CallerTimeoutEstimate {
    /** The newest so many requests of a route are counted. */
    private static final int COUNTED = 128;

    private final Deque<Long> newest = new ArrayDeque<>();
    private final Map<Long, Integer> counts = new HashMap<>();

    /** @param patienceMs what the caller named, 0 where it named nothing */
    synchronized long elapsedMs(long patienceMs) {
        if (patienceMs <= 0) {
            return 0;
        }
        note(patienceMs);
        return Math.max(0, usualMs() - patienceMs);
    }

    private void note(long patienceMs) {
        newest.addLast(patienceMs);
        counts.merge(patienceMs, 1, Integer::sum);
        if (newest.size() > COUNTED) {
            counts.computeIfPresent(newest.removeFirst(), (value, count) -> count == 1 ? null : count - 1);
        }
    }

    /** The value named most often, the largest of several; 0 where none came twice. */
    private long usualMs() {
        long usual = 0;
        int most = 1;
        for (Map.Entry<Long, Integer> entry : counts.entrySet()) {
            boolean more = entry.getValue() > most || (entry.getValue() == most && entry.getKey() > usual);
            if (more && entry.getValue() > 1) {
                usual = entry.getKey();
                most = entry.getValue();
            }
        }
        return usual;
    }
}
