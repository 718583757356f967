package org.marjoramswitch.kernel.misc;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Counts by customer since the last report, of which the largest are reported once a second while any demand is rejected.
 *
 * <p>Cost: constant for each count; a report is n log n in the customers, of which a bounded number is kept. Not thread-safe.
 *
 * @param <T> the counts of one customer
 */
public final class CustomerCounts<T> {
    public static final int MAX_REPORTED = 8;

    private static final long INTERVAL_MS = 1_000;
    private static final int MAX_COUNTED = 256;

    private final Supplier<T> empty;
    private final Map<CustomerId, T> counts = new HashMap<>();
    private boolean anyRejected;
    private long takenAtMs;

    private CustomerCounts(Supplier<T> empty) {
        this.empty = empty;
    }

    public static <T> CustomerCounts<T> create(Supplier<T> empty) {
        return new CustomerCounts<>(empty);
    }

    /** Returns the customer's counts. Those of customers beyond the maximum are not kept. */
    public T of(CustomerId customer) {
        T known = counts.get(customer);
        if (known != null) {
            return known;
        }
        T added = empty.get();
        if (counts.size() < MAX_COUNTED) {
            counts.put(customer, added);
        }
        return added;
    }

    /** As {@link #of}, for counts of rejected demand, which make the next report due. */
    public T ofRejected(CustomerId customer) {
        anyRejected = true;
        return of(customer);
    }

    /**
     * Returns the reports of the customers with the largest counts, and resets all; empty before the next report is due.
     *
     * @param size orders the customers, the largest first
     */
    public <R> List<R> takeDue(ToDoubleFunction<T> size, BiFunction<CustomerId, T, R> report, long nowMs) {
        if (nowMs - takenAtMs < INTERVAL_MS) {
            return List.of();
        }
        takenAtMs = nowMs;
        Comparator<Map.Entry<CustomerId, T>> bySize =
                Comparator.comparingDouble(entry -> size.applyAsDouble(entry.getValue()));
        List<R> largest = counts.entrySet().stream()
                .sorted(bySize.reversed())
                .limit(anyRejected ? MAX_REPORTED : 0)
                .map(entry -> report.apply(entry.getKey(), entry.getValue()))
                .toList();
        counts.clear();
        anyRejected = false;
        return largest;
    }
}
