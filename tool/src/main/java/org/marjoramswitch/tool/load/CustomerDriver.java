package org.marjoramswitch.tool.load;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;

/** Generates one customer's requests and holds its callers and statistics. */
final class CustomerDriver {
    /** Callers per customer; requests are assigned to them round-robin, and each requests its own addresses. */
    static final int CALLERS = 4;

    private final CustomerLoad load;
    private final RequestFactory requests;
    private final SplittableRandom arrivals;
    private final CustomerStatistics statistics = new CustomerStatistics();
    private final List<Caller> callers =
            Stream.generate(Caller::new).limit(CALLERS).toList();
    private int callerIndex;

    private CustomerDriver(CustomerLoad load, RequestFactory requests, SplittableRandom arrivals) {
        this.load = load;
        this.requests = requests;
        this.arrivals = arrivals;
    }

    static CustomerDriver of(CustomerLoad load, long seed, String runId) {
        SplittableRandom arrivals =
                new SplittableRandom(~seed * 31 + load.customer().hashCode());
        return new CustomerDriver(load, RequestFactory.of(load, seed, runId), arrivals);
    }

    CustomerLoad load() {
        return load;
    }

    CustomerStatistics statistics() {
        return statistics;
    }

    boolean isClosedLoop() {
        return load.concurrency() > 0;
    }

    OpenRequest nextRequest(long nowNs) {
        statistics.recordRequest();
        callerIndex = (callerIndex + 1) % CALLERS;
        return new OpenRequest(requests.next(), this, callers.get(callerIndex), nowNs);
    }

    /** Returns the time to the next arrival of an open loop, exponentially distributed (Poisson arrivals). */
    long nextArrivalNs() {
        double seconds = -Math.log(1 - arrivals.nextDouble()) / load.ratePerSecond();
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }
}
