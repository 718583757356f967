package org.marjoramswitch.tool.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Computes utilisation and the fairness gap from samples of the engines' and callers' counters.
 *
 * <p>Utilisation: the busy share of slot time over the intervals in which requests were waiting. Requests certainly
 * wait when callers have more model requests outstanding than there are slots, so an interval counts if this holds at
 * both its ends. Slots left empty while requests wait lower the utilisation; a light load does not.
 *
 * <p>Fairness gap: the largest difference between the output tokens of two customers over any period in which both were
 * continuously backlogged. All customers have the same weight in the demo. For each pair the meter tracks the minimum
 * and maximum of the difference of their totals since both became backlogged; the largest difference over any part of
 * that period is the maximum minus the minimum. Example: if the totals differ by 5 when the second customer becomes
 * backlogged, later by 9 and then by 2, the gap is 7.
 *
 * <p>A customer is backlogged at a sample if it has more requests outstanding than the engines run for it.
 *
 * <p>Warm-up: the gap excludes the first {@value #WARM_UP_MS} ms. All callers start in the same millisecond, but their
 * requests reach the arbiters one after the other, and the first ones correctly take the empty slots before any other
 * customer is known to wait. Callers observe that as a gap, which no fleet could avoid.
 *
 * <p>Cost: quadratic in the number of backlogged customers for each sample.
 */
final class DemoMeter {
    static final long WARM_UP_MS = 2_000;

    private final int slots;
    private final Map<Pair, Range> ranges = new HashMap<>();
    private double busyMs;
    private double idleMs;
    private long gapTokens;
    private String gapBetween = "none";
    private boolean hadRequestsWaiting;
    private DemoSample last;

    private DemoMeter(int slots, DemoSample first) {
        this.slots = slots;
        this.last = first;
    }

    static DemoMeter create(int slots, DemoSample first) {
        return new DemoMeter(slots, first);
    }

    /** @param elapsedMs time since the callers started */
    void addSample(DemoSample sample, long elapsedMs) {
        boolean requestsWaiting = sample.outstanding() > slots;
        if (requestsWaiting && hadRequestsWaiting) {
            busyMs += sample.busySlotMs() - last.busySlotMs();
            idleMs += sample.idleSlotMs() - last.idleSlotMs();
        }
        hadRequestsWaiting = requestsWaiting;
        last = sample;
        if (elapsedMs >= WARM_UP_MS) {
            compareCustomers(sample);
        }
    }

    /** Returns the busy share of slot time, 0 to 1; 0 if no requests ever waited. */
    double utilisation() {
        double allMs = busyMs + idleMs;
        return allMs == 0 ? 0 : busyMs / allMs;
    }

    long gapTokens() {
        return gapTokens;
    }

    /** Returns the two customers with the largest gap, separated by a comma, or {@code none}. */
    String gapBetween() {
        return gapBetween;
    }

    private void compareCustomers(DemoSample sample) {
        Set<String> backlogged = new TreeSet<>();
        sample.outstandingByCustomer().keySet().stream()
                .filter(sample::isBacklogged)
                .forEach(backlogged::add);
        ranges.keySet().removeIf(pair -> !backlogged.contains(pair.first()) || !backlogged.contains(pair.second()));
        for (String first : backlogged) {
            for (String second : backlogged) {
                if (first.compareTo(second) < 0) {
                    compare(new Pair(first, second), sample.tokens(first) - sample.tokens(second));
                }
            }
        }
    }

    private void compare(Pair pair, long difference) {
        Range range = ranges.merge(pair, new Range(difference, difference), Range::with);
        long gained = range.max() - range.min();
        if (gained > gapTokens) {
            gapTokens = gained;
            gapBetween = pair.first() + "," + pair.second();
        }
    }

    private record Pair(String first, String second) {}

    private record Range(long min, long max) {
        Range with(Range other) {
            return new Range(Math.min(min, other.min), Math.max(max, other.max));
        }
    }
}
