package org.marjoramswitch.kernel.placement;

import java.util.Collections;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/** The requests of one customer that wait at an arbiter and can still be in time, and what they ask for together. */
final class CustomerBacklog {
    static final CustomerBacklog EMPTY = new CustomerBacklog();
    /**
     * Of equal urgency the one that came first. By the objective's end, requests with a short objective would always go
     * before those with a longer one, which under overload are then the only ones to get late.
     */
    private static final Comparator<WaitingRequest> MOST_PRESSING_FIRST =
            Comparator.comparingInt(WaitingRequest::urgency).thenComparingLong(WaitingRequest::arrival);

    private final NavigableSet<WaitingRequest> requests = new TreeSet<>(MOST_PRESSING_FIRST);
    private long costTokens;
    private long readingTokens;

    void add(WaitingRequest request) {
        if (requests.add(request)) {
            costTokens += request.costTokens();
            readingTokens += request.readingTokens();
        }
    }

    void remove(WaitingRequest request) {
        if (requests.remove(request)) {
            costTokens -= request.costTokens();
            readingTokens -= request.readingTokens();
        }
    }

    /** The most pressing first. */
    NavigableSet<WaitingRequest> requests() {
        return Collections.unmodifiableNavigableSet(requests);
    }

    int size() {
        return requests.size();
    }

    long costTokens() {
        return costTokens;
    }

    long readingTokens() {
        return readingTokens;
    }
}
