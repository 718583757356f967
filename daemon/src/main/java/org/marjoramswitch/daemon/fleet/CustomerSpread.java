package org.marjoramswitch.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Estimates over how many instances a customer's callers should be spread, from the requests at this instance alone.
 *
 * <p>A customer is kept on few instances, the first ones of its rendezvous order, so that each instance queues for few
 * pools and opens few links to arbiters. A customer with more work than one instance should hold is spread over more.
 * If it is spread over {@code s} instances and {@code n} of its requests are open here, about {@code n * s} are open in
 * total, and {@code n * s / }{@value #OPEN_REQUESTS_PER_INSTANCE} instances are needed.
 *
 * <p>Callers cache a resolved address for some time, so a changed spread affects the open requests only after a delay.
 * The estimate is therefore updated once per that time, and at most doubles or halves; otherwise the same surplus would
 * be multiplied with each response until the customer was spread over all instances.
 *
 * <p>Another instance may have determined the spread. An instance that is third in a customer's order and holds work of
 * the customer infers that the customer is spread over at least three, and does not send it back to the first.
 *
 * <p>Example, with 30 s: 200 requests are open at the first instance. It computes 1 x 200 / 32, limited to 2; 30 s
 * later half of the requests are here, 2 x 100 / 32 is 6.25, limited to 4; then 4 x 50 / 32 gives 6.25, where it stays.
 *
 * <p>Cost: one entry for each customer that is spread over more than one instance; one rendezvous order per update.
 */
public final class CustomerSpread {
    /** Number of open requests of a customer up to which one instance suffices. */
    static final int OPEN_REQUESTS_PER_INSTANCE = 32;

    private static final double ONE_INSTANCE = 1;
    private static final double MAX_GROWTH = 2;

    private final InstanceId self;
    private final ToIntFunction<CustomerId> localOpen;
    private final long addressTtlMs;
    private final Map<CustomerId, Estimate> estimates = new HashMap<>();

    private CustomerSpread(InstanceId self, ToIntFunction<CustomerId> localOpen, long addressTtlMs) {
        this.self = self;
        this.localOpen = localOpen;
        this.addressTtlMs = addressTtlMs;
    }

    /**
     * @param localOpen the number of a customer's requests that are open at this instance
     * @param addressTtlMs how long callers cache a resolved address
     */
    public static CustomerSpread of(InstanceId self, ToIntFunction<CustomerId> localOpen, long addressTtlMs) {
        return new CustomerSpread(self, localOpen, addressTtlMs);
    }

    /** The number of instances that the customer's work needs; at least 1, not rounded. */
    public synchronized double spread(CustomerId customer, List<InstanceId> eligible, long nowMs) {
        Estimate known = estimates.get(customer);
        if (known != null && nowMs - known.madeAtMs() < addressTtlMs) {
            return known.instances();
        }
        int open = localOpen.applyAsInt(customer);
        double previous = known == null ? ONE_INSTANCE : known.instances();
        double unbounded = open * previous / OPEN_REQUESTS_PER_INSTANCE;
        double bounded = Math.max(previous / MAX_GROWTH, Math.min(previous * MAX_GROWTH, unbounded));
        double instances = Math.max(minSpread(customer, open, eligible), bounded);
        if (instances > ONE_INSTANCE) {
            estimates.put(customer, new Estimate(instances, nowMs));
        } else {
            estimates.remove(customer);
        }
        return Math.max(ONE_INSTANCE, instances);
    }

    /** Lower bound from this instance's rank in the customer's order; ignores the work of a few stray callers. */
    private double minSpread(CustomerId customer, int open, List<InstanceId> eligible) {
        if (open < OPEN_REQUESTS_PER_INSTANCE / 2) {
            return ONE_INSTANCE;
        }
        return 1 + Math.max(0, Rendezvous.rank(customer.name(), eligible).indexOf(self));
    }

    private record Estimate(double instances, long madeAtMs) {}
}
