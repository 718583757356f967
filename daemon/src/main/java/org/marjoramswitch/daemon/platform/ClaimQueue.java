package org.marjoramswitch.daemon.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of waiting claims, grouped by key in order of arrival. Of several claims on one key only the first is written;
 * its result decides the others, so a caller that repeats one key many times can't starve other keys.
 */
final class ClaimQueue {
    private final Map<String, Deque<PendingClaim>> byKey = new LinkedHashMap<>();

    private ClaimQueue() {}

    static ClaimQueue create() {
        return new ClaimQueue();
    }

    boolean isEmpty() {
        return byKey.isEmpty();
    }

    int keys() {
        return byKey.size();
    }

    void add(PendingClaim claim) {
        byKey.computeIfAbsent(claim.key(), key -> new ArrayDeque<>()).addLast(claim);
    }

    /** The first claim of each of the first {@code limit} keys; they stay in the queue. */
    List<PendingClaim> group(int limit) {
        return byKey.values().stream().limit(limit).map(Deque::getFirst).toList();
    }

    /** Removes and returns all claims on a key, in order of arrival. */
    List<PendingClaim> remove(String key) {
        Deque<PendingClaim> claims = byKey.remove(key);
        return claims == null ? List.of() : List.copyOf(claims);
    }

    /** Removes and returns the claims whose deadline has passed. */
    List<PendingClaim> removeExpired(long nowMs) {
        List<PendingClaim> expired = new ArrayList<>();
        for (Iterator<Deque<PendingClaim>> keys = byKey.values().iterator(); keys.hasNext(); ) {
            Deque<PendingClaim> claims = keys.next();
            while (!claims.isEmpty() && claims.getFirst().deadlineMs() <= nowMs) {
                expired.add(claims.removeFirst());
            }
            if (claims.isEmpty()) {
                keys.remove();
            }
        }
        return expired;
    }

    /** The earliest deadline, {@code Long.MAX_VALUE} if the queue is empty. */
    long earliestDeadlineMs() {
        return byKey.values().stream()
                .mapToLong(claims -> claims.getFirst().deadlineMs())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** The arrival time of the oldest claim, {@code Long.MAX_VALUE} if the queue is empty. */
    long earliestArrivalMs() {
        return byKey.values().stream()
                .mapToLong(claims -> claims.getFirst().arrivedMs())
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
