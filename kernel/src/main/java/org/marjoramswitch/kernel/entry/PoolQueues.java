package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.capacity.RetryBudget;
import org.marjoramswitch.kernel.capacity.WindowedRetryBudget;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/** One pool's queues at this entry, with its drain rates, retry budgets, prefix directory and home cells. */
final class PoolQueues {
    private final PoolId pool;
    private final Map<CustomerId, CustomerQueue> waiting = new TreeMap<>();
    private final Map<CustomerId, DrainRate> drainRates = new TreeMap<>();
    private final RetryBudget retriesNotRun = RetryBudget.create();
    private final RetryBudget retriesMayHaveRun = RetryBudget.create();
    private final WindowedRetryBudget windowedRetryBudget = WindowedRetryBudget.create();
    private final RouteDurations durations = RouteDurations.create();
    private final PrefixDirectory prefixes = new PrefixDirectory();
    private final Map<CustomerId, CellId> homes = new TreeMap<>();
    private final String instance;

    /**
     * @param instance this instance's name, which makes the initial home cells of a customer differ between instances
     */
    PoolQueues(PoolId pool, String instance) {
        this.pool = pool;
        this.instance = instance;
    }

    PoolId pool() {
        return pool;
    }

    /**
     * Records a success of a granted request, of which a share may be retried.
     *
     * @param retryShare retries allowed per success
     */
    void succeeded(double retryShare) {
        retriesNotRun.succeeded(retryShare);
        retriesMayHaveRun.succeeded(retryShare);
    }

    /**
     * Takes a retry of a granted request from its budget; false if none is left. Connections that a crashed target
     * refuses use up a budget within milliseconds, so requests that it may have run have a budget of their own: without
     * a retry the caller could not know whether they ran.
     */
    boolean takeRetry(boolean mayHaveRun) {
        return mayHaveRun ? retriesMayHaveRun.take() : retriesNotRun.take();
    }

    /** The retry budget of placed requests: a share of the requests in a time window, across the whole fleet. */
    WindowedRetryBudget windowedRetryBudget() {
        return windowedRetryBudget;
    }

    /** Recent durations of this entry's requests, by route. */
    RouteDurations durations() {
        return durations;
    }

    PrefixDirectory prefixes() {
        return prefixes;
    }

    DrainRate drainRate(CustomerId customer) {
        return drainRates.computeIfAbsent(customer, missing -> new DrainRate());
    }

    /** The non-empty queues. */
    Collection<CustomerQueue> backlogged() {
        return waiting.values();
    }

    int size(CustomerId customer) {
        CustomerQueue queue = waiting.get(customer);
        return queue == null ? 0 : queue.size();
    }

    @Nullable
    CustomerQueue queue(CustomerId customer) {
        return waiting.get(customer);
    }

    CustomerQueue add(EntryRequest request) {
        CustomerQueue queue = waiting.computeIfAbsent(request.spec().customer(), CustomerQueue::new);
        queue.add(request);
        return queue;
    }

    void remove(EntryRequest request) {
        CustomerQueue queue = waiting.get(request.spec().customer());
        if (queue == null) {
            return;
        }
        queue.remove(request);
        dropIfEmpty(queue);
    }

    void dropIfEmpty(CustomerQueue queue) {
        if (queue.isEmpty()) {
            waiting.remove(queue.customer());
        }
    }

    /**
     * The home cell, to which a customer's requests are offered first: the one that granted the last of them, initially
     * the one with the highest rendezvous weight. An entry thus has links to few arbiters, a customer's prompts use few
     * caches, and a customer whose cell is full moves to a cell that had a slot for it.
     */
    CellId home(CustomerId customer, List<CellId> cells) {
        CellId home = homes.get(customer);
        if (home != null && cells.contains(home)) {
            return home;
        }
        return Rendezvous.rank(instance + "/" + customer, cells).get(0);
    }

    void recordGrant(CustomerId customer, CellId cell) {
        homes.put(customer, cell);
    }
}
