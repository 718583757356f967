package org.marjoramswitch.kernel.admission;

import java.util.List;
import org.marjoramswitch.kernel.misc.CustomerCounts;
import org.marjoramswitch.kernel.model.CustomerId;

/** Counts what became of the requests of each customer, and reports the largest customers while any is rejected. */
final class LoadReport {
    private final CustomerCounts<Counts> counts = CustomerCounts.create(Counts::new);

    private static final class Counts {
        private long admitted;
        private long rejected;
        private long unread;
        private double admittedTokens;
        private double rejectedTokens;
        private double unreadTokens;

        private double requests() {
            return (double) admitted + rejected + unread;
        }

        private CustomerLoad load(CustomerId customer) {
            return new CustomerLoad(
                    customer,
                    admitted,
                    Math.round(admittedTokens),
                    rejected,
                    Math.round(rejectedTokens),
                    unread,
                    Math.round(unreadTokens));
        }
    }

    void admitted(CustomerId customer, double tokens) {
        Counts own = counts.of(customer);
        own.admitted++;
        own.admittedTokens += tokens;
    }

    void rejected(CustomerId customer, double tokens) {
        Counts own = counts.ofRejected(customer);
        own.rejected++;
        own.rejectedTokens += tokens;
    }

    /** @param tokens of these requests, estimated */
    void rejectedUnread(CustomerId customer, long requests, double tokens) {
        Counts own = counts.ofRejected(customer);
        own.unread += requests;
        own.unreadTokens += tokens;
    }

    /** Returns the customers with most requests since the last report; empty before the next one is due. */
    List<CustomerLoad> takeDue(long nowMs) {
        return counts.takeDue(Counts::requests, (customer, own) -> own.load(customer), nowMs);
    }
}
