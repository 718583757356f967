package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.marjoramswitch.kernel.misc.CustomerCounts;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Counts by customer what became of the requests at an arbiter, and reports the customers with most demand once a second
 * while any demand is rejected, here or at an entry instance.
 *
 * <p>Each request is counted once when it arrives and once when it starts, is rejected or is withdrawn, so that the tokens
 * asked for are those of the three outcomes and of the requests that wait.
 *
 * <p>Not thread-safe.
 */
final class DemandReport {
    private final CustomerCounts<Counts> counts = CustomerCounts.create(Counts::new);

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
        Counts own = counts.of(request.customer());
        own.asked++;
        own.askedTokens += request.costTokens();
    }

    void rejectedAtEntry(CustomerId customer, double tokens) {
        counts.ofRejected(customer).rejectedAtEntriesTokens += tokens;
    }

    void started(WaitingRequest request) {
        Counts own = counts.of(request.customer());
        own.started++;
        own.startedTokens += request.costTokens();
    }

    void rejected(WaitingRequest request, String reason) {
        Counts own = counts.ofRejected(request.customer());
        switch (reason) {
            case PlacementLog.LATE -> own.lateTokens += request.costTokens();
            case PlacementLog.ARBITER_LAG -> own.lagTokens += request.costTokens();
            default -> own.otherRejectedTokens += request.costTokens();
        }
    }

    void withdrawn(WaitingRequest request) {
        counts.of(request.customer()).withdrawnTokens += request.costTokens();
    }

    /** Returns the customers with most demand since the last report; empty before the next one is due. */
    List<CustomerDemand> takeDue(long nowMs) {
        return counts.takeDue(Counts::demandTokens, (customer, own) -> own.demand(customer), nowMs);
    }
}
