package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Counts by customer what became of the requests at an arbiter, and reports the customers with most demand once a second
 * while any demand is rejected, here or at an entry instance.
 *
 * <p>Each request is counted once when it arrives and once when it starts, is rejected or is withdrawn, so that the tokens
 * asked for are those of the three outcomes and of the requests that wait.
 *
 * <p>Cost: constant for each request; a report is n log n in the customers. Not thread-safe.
 */
final class DemandReport {
    /** Maximum customers in a report. */
    static final int MAX_REPORTED = 8;

    private static final long INTERVAL_MS = 1_000;
    private static final int MAX_COUNTED = 256;

    private final Map<CustomerId, Counts> counts = new HashMap<>();
    private boolean anyRejected;
    private long takenAtMs;

    private static final class Counts {
        private long asked;
        private long askedTokens;
        private long started;
        private long startedTokens;
        private long withdrawnTokens;
        private long lateTokens;
        private long lagTokens;
        private long otherRejectedTokens;
        private double rejectedAtEntriesTokens;

        private double demandTokens() {
            return askedTokens + rejectedAtEntriesTokens;
        }

        private CustomerDemand demand(CustomerId customer) {
            return new CustomerDemand(
                    customer,
                    asked,
                    askedTokens,
                    Math.round(rejectedAtEntriesTokens),
                    started,
                    startedTokens,
                    lateTokens,
                    lagTokens,
                    otherRejectedTokens,
                    withdrawnTokens);
        }
    }

    /**
     * The requests of a customer since the last report. Tokens are those that customers are charged.
     *
     * @param rejectedAtEntriesTokens demand that entry instances rejected, which never arrived here
     * @param lateTokens rejected because their objective could not be met
     * @param lagTokens rejected because this instance lagged
     */
    record CustomerDemand(
            CustomerId customer,
            long asked,
            long askedTokens,
            long rejectedAtEntriesTokens,
            long started,
            long startedTokens,
            long lateTokens,
            long lagTokens,
            long otherRejectedTokens,
            long withdrawnTokens) {}

    void asked(WaitingRequest request) {
        Counts own = of(request.customer());
        own.asked++;
        own.askedTokens += request.costTokens();
    }

    void rejectedAtEntry(CustomerId customer, double tokens) {
        of(customer).rejectedAtEntriesTokens += tokens;
        anyRejected = true;
    }

    void started(WaitingRequest request) {
        Counts own = of(request.customer());
        own.started++;
        own.startedTokens += request.costTokens();
    }

    void rejected(WaitingRequest request, String reason) {
        Counts own = of(request.customer());
        anyRejected = true;
        switch (reason) {
            case PlacementLog.LATE -> own.lateTokens += request.costTokens();
            case PlacementLog.ARBITER_LAG -> own.lagTokens += request.costTokens();
            default -> own.otherRejectedTokens += request.costTokens();
        }
    }

    void withdrawn(WaitingRequest request) {
        of(request.customer()).withdrawnTokens += request.costTokens();
    }

    /** Customers beyond the maximum are counted, but not kept. */
    private Counts of(CustomerId customer) {
        Counts known = counts.get(customer);
        if (known != null) {
            return known;
        }
        Counts added = new Counts();
        if (counts.size() < MAX_COUNTED) {
            counts.put(customer, added);
        }
        return added;
    }

    /** Returns the customers with most demand since the last report; empty before the next one is due. */
    List<CustomerDemand> takeDue(long nowMs) {
        if (nowMs - takenAtMs < INTERVAL_MS) {
            return List.of();
        }
        takenAtMs = nowMs;
        List<CustomerDemand> largest = new ArrayList<>();
        if (anyRejected) {
            counts.entrySet().stream()
                    .sorted(Comparator.comparingDouble((Map.Entry<CustomerId, Counts> entry) ->
                                    entry.getValue().demandTokens())
                            .reversed())
                    .limit(MAX_REPORTED)
                    .forEach(entry -> largest.add(entry.getValue().demand(entry.getKey())));
        }
        counts.clear();
        anyRejected = false;
        return largest;
    }
}
