package org.marjoramswitch.kernel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The waiting connections of one customer, in the order of accepts.
 *
 * <p>The next one is the newest of the kind with most tokens per work, so that the processor time that the customer gets
 * carries as many tokens as possible. Every fourth is the newest of all kinds, so that no kind is left out. Admission control
 * prefers kinds once more when the request is read ({@link CustomerDemand}), so that the others keep less than a quarter of
 * their proportional part.
 *
 * <p>Cost: constant, besides the kinds, of which at most {@link #MAX_KINDS} are told apart. Not thread-safe.
 *
 * @param <C> type of a connection
 */
final class CustomerLine<C> {
    private static final int MAX_KINDS = 16;
    private static final int NEWEST_INTERVAL = 4;

    private final Deque<WaitingEntry<C>> all = new ArrayDeque<>();
    private final Map<String, Deque<WaitingEntry<C>>> byKind = new HashMap<>();
    private long selections;

    void add(WaitingEntry<C> entry, AdmissionRequest request) {
        all.addLast(entry);
        Deque<WaitingEntry<C>> known = byKind.get(request.kind());
        if (known == null && byKind.size() < MAX_KINDS) {
            known = new ArrayDeque<>();
            byKind.put(request.kind(), known);
        }
        if (known != null) {
            known.addLast(entry);
        }
    }

    /** Drops removed connections at both ends; returns whether none is left. */
    boolean trim() {
        byKind.values().removeIf(WaitingEntry::trim);
        return WaitingEntry.trim(all);
    }

    /** The newest connection. The line must not be empty. */
    WaitingEntry<C> newest() {
        return all.getLast();
    }

    /** Selects the connection to serve next. The newest one must be fresh. */
    WaitingEntry<C> select(long maxWaitMs, long nowMs) {
        WaitingEntry<C> best = newest();
        if (selections++ % NEWEST_INTERVAL == 0) {
            return best;
        }
        for (Deque<WaitingEntry<C>> ofKind : byKind.values()) {
            WaitingEntry<C> newest = WaitingEntry.trim(ofKind) ? null : ofKind.getLast();
            if (newest != null && newest.isFresh(maxWaitMs, nowMs) && newest.tokensPerWork() > best.tokensPerWork()) {
                best = newest;
            }
        }
        return best;
    }

    int referenceCount() {
        return all.size() + byKind.values().stream().mapToInt(Deque::size).sum();
    }
}
