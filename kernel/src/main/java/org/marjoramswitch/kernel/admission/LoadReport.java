package org.marjoramswitch.kernel.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/** Counts what became of the requests of each customer, and reports the largest customers while any is rejected. */
final class LoadReport {
    private static final long INTERVAL_MS = 1_000;
    private static final int MAX_REPORTED = 8;
    private static final int MAX_COUNTED = 256;

    private final Map<CustomerId, Counts> counts = new HashMap<>();
    private boolean anyRejected;
    private long takenAtMs;

    private static final class Counts {
        private long admitted;
        private long rejected;
        private long unread;
        private double admittedTokens;
        private double rejectedTokens;
        private double unreadTokens;

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
        Counts own = of(customer);
        own.admitted++;
        own.admittedTokens += tokens;
    }

    void rejected(CustomerId customer, double tokens) {
        Counts own = of(customer);
        own.rejected++;
        own.rejectedTokens += tokens;
        anyRejected = true;
    }

    /** @param tokens of these requests, estimated */
    void rejectedUnread(CustomerId customer, long requests, double tokens) {
        Counts own = of(customer);
        own.unread += requests;
        own.unreadTokens += tokens;
        anyRejected = true;
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

    /** Returns the customers with most requests since the last report; empty before the next one is due. */
    List<CustomerLoad> takeDue(long nowMs) {
        if (nowMs - takenAtMs < INTERVAL_MS) {
            return List.of();
        }
        takenAtMs = nowMs;
        List<CustomerLoad> loads = new ArrayList<>();
        if (anyRejected) {
            counts.forEach((customer, own) -> loads.add(own.load(customer)));
        }
        counts.clear();
        anyRejected = false;
        loads.sort(Comparator.comparingLong((CustomerLoad load) -> load.admitted() + load.rejected() + load.unread())
                .reversed());
        return List.copyOf(loads.subList(0, Math.min(MAX_REPORTED, loads.size())));
    }
}
