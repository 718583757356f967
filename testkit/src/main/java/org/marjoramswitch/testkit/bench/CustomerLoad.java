package org.marjoramswitch.testkit.bench;

import java.util.List;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Load of one customer on one pool.
 *
 * @param pool index of the pool; the plain services' pool comes after the model pools
 * @param entries instances that the callers use, with repetition as weight
 * @param outstanding constant number of open requests of a closed loop; 0 for an open loop
 * @param requestsPerS arrival rate of an open loop
 * @param meanTokens mean output length in tokens; the median is three quarters of the mean
 * @param group group of customers whose wait times are measured together
 */
record CustomerLoad(
        CustomerId customer,
        int pool,
        List<Integer> entries,
        int outstanding,
        double requestsPerS,
        double meanTokens,
        Group group) {
    static final double MEAN_TOKENS = 200;

    static CustomerLoad closed(String customer, int pool, List<Integer> entries, int outstanding, Group group) {
        return new CustomerLoad(CustomerId.of(customer), pool, entries, outstanding, 0, MEAN_TOKENS, group);
    }

    static CustomerLoad open(String customer, int pool, List<Integer> entries, double requestsPerS, Group group) {
        return new CustomerLoad(CustomerId.of(customer), pool, entries, 0, requestsPerS, MEAN_TOKENS, group);
    }

    CustomerLoad withMeanTokens(double tokens) {
        return new CustomerLoad(customer, pool, entries, outstanding, requestsPerS, tokens, group);
    }

    /** Group of customers. */
    enum Group {
        SMALL,
        LARGE,
        FLOODING,
        SERVICE
    }
}
