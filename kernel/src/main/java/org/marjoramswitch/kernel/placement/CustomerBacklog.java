package org.marjoramswitch.kernel.placement;

import java.util.Collections;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/** The waiting requests of one customer at an arbiter that can still meet their objective, with their total cost. */
final class CustomerBacklog {
    static final CustomerBacklog EMPTY = new CustomerBacklog();
    /**
     * Breaks ties in urgency by arrival. Ordering by the end of the objective would always put requests with a short
     * objective first, so that under overload only those with a longer one became late.
     */
    private static final Comparator<WaitingRequest> MOST_URGENT_FIRST =
            Comparator.comparingInt(WaitingRequest::urgency).thenComparingLong(WaitingRequest::arrival);

    private final NavigableSet<WaitingRequest> requests = new TreeSet<>(MOST_URGENT_FIRST);
    private long costTokens;
    private long prefillTokens;

    void add(WaitingRequest request) {
        if (requests.add(request)) {
            costTokens += request.costTokens();
            prefillTokens += request.prefillTokens();
        }
    }

    void remove(WaitingRequest request) {
        if (requests.remove(request)) {
            costTokens -= request.costTokens();
            prefillTokens -= request.prefillTokens();
        }
    }

    /** The requests, most urgent first. */
    NavigableSet<WaitingRequest> requests() {
        return Collections.unmodifiableNavigableSet(requests);
    }

    int size() {
        return requests.size();
    }

    long costTokens() {
        return costTokens;
    }

    long prefillTokens() {
        return prefillTokens;
    }
}
