package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Simulates the callers of all customers. A closed loop sends the next request through the same entry when it receives
 * the response, or after the retry delay of a rejection; an open loop ignores outcomes. If its entry is down, a caller
 * uses the next one.
 */
final class Callers {
    private static final long RECONNECT_DELAY_US = 500_000;
    private static final long MIN_RETRY_MS = 100;

    private final List<CustomerLoad> loads;
    private final List<LoadGenerator> generators = new ArrayList<>();
    private final VirtualClock clock;
    private final IntPredicate down;
    private final Consumer<BenchRequest> arrivals;
    private final int entries;
    private boolean ended;
    private long requests;

    private Callers(
            List<CustomerLoad> loads,
            VirtualClock clock,
            IntPredicate down,
            Consumer<BenchRequest> arrivals,
            int entries) {
        this.loads = loads;
        this.clock = clock;
        this.down = down;
        this.arrivals = arrivals;
        this.entries = entries;
    }

    static Callers create(
            List<CustomerLoad> loads,
            VirtualClock clock,
            IntPredicate down,
            Consumer<BenchRequest> arrivals,
            int entries,
            long seed) {
        Callers callers = new Callers(loads, clock, down, arrivals, entries);
        for (int load = 0; load < loads.size(); load++) {
            callers.generators.add(LoadGenerator.create(loads.get(load), load, seed));
        }
        return callers;
    }

    long requests() {
        return requests;
    }

    void begin() {
        for (int index = 0; index < loads.size(); index++) {
            int load = index;
            CustomerLoad customerLoad = loads.get(load);
            for (int open = 0; open < customerLoad.outstanding(); open++) {
                int entry =
                        customerLoad.entries().get(open % customerLoad.entries().size());
                clock.after(open, () -> arrive(load, entry));
            }
            if (customerLoad.requestsPerS() > 0) {
                scheduleArrival(load);
            }
        }
    }

    /** Stops all further arrivals. */
    void end() {
        ended = true;
    }

    void answered(BenchRequest request) {
        followUp(request, 0);
    }

    void refused(BenchRequest request, long retryAfterMs) {
        followUp(request, Math.max(MIN_RETRY_MS, retryAfterMs) * VirtualClock.US_PER_MS);
    }

    void entryLost(BenchRequest request) {
        followUp(request, RECONNECT_DELAY_US);
    }

    private void followUp(BenchRequest request, long delayUs) {
        if (loads.get(request.load).outstanding() > 0) {
            clock.after(delayUs, () -> arrive(request.load, request.entry));
        }
    }

    private void scheduleArrival(int load) {
        LoadGenerator generator = generators.get(load);
        clock.after(generator.nextGapUs(), () -> {
            arrive(load, generator.nextEntry());
            scheduleArrival(load);
        });
    }

    private void arrive(int load, int preferredEntry) {
        if (ended) {
            return;
        }
        int entry = preferredEntry;
        while (down.test(entry)) {
            entry = (entry + 1) % entries;
        }
        arrivals.accept(generators.get(load).next(++requests, entry, clock.nowUs()));
    }
}
