package org.marjoramswitch.kernel.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Accepted connections that wait to be served, in the order of accepts. The oldest is rejected first. Of the customers
 * with waiting connections the caller of {@link #removeNext} selects one, of which {@link CustomerLine} selects a new
 * connection: in the order of accepts every connection would be served when its caller is about to give up, and in an order
 * that ignores customers each would be served in proportion to the connections that it opens.
 *
 * <p>Connections whose request is not known yet are served only if no other one waits.
 *
 * <p>Times are those for which the accepting thread ran, so that a pause of the process expires nothing.
 *
 * <p>Cost: an addition and a removal take constant time, amortized, besides the identification, and a choice is linear in
 * the customers with waiting connections. Not thread-safe.
 *
 * @param <C> type of a connection
 */
public final class AcceptLine<C> {
    private final int capacity;
    private final Function<C, @Nullable AdmissionRequest> requests;
    private final Deque<WaitingEntry<C>> entries = new ArrayDeque<>();
    private final List<WaitingEntry<C>> unidentified = new ArrayList<>();
    /** The identified connections. */
    private final Map<CustomerId, CustomerLine<C>> byCustomer = new HashMap<>();

    private int size;

    /** Selects the customer to serve next. */
    @FunctionalInterface
    public interface Choice {
        /**
         * @param customers those with connections that may be served; empty if no such customer is known
         * @return null if none may be served; any customer if none is known and a connection may be served
         */
        @Nullable
        CustomerId choose(Collection<CustomerId> customers);
    }

    private AcceptLine(int capacity, Function<C, @Nullable AdmissionRequest> requests) {
        this.capacity = capacity;
        this.requests = requests;
    }

    /** @param requests returns a connection's request, null while it is not known */
    public static <C> AcceptLine<C> create(int capacity, Function<C, @Nullable AdmissionRequest> requests) {
        return new AcceptLine<>(capacity, requests);
    }

    public boolean isFull() {
        return size >= capacity;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    public int size() {
        return size;
    }

    public void add(C connection, long nowMs) {
        WaitingEntry<C> entry = new WaitingEntry<>(connection, nowMs);
        entries.addLast(entry);
        size++;
        unidentified.add(entry);
    }

    /** Whether a connection has not waited for this time yet, so that it may be served. */
    public boolean hasFresh(long maxWaitMs, long nowMs) {
        return size > 0 && entries.getLast().isFresh(maxWaitMs, nowMs);
    }

    /** Queries the requests that are not known yet. Must be called before connections are served or rejected. */
    public void identify() {
        byCustomer.values().removeIf(CustomerLine::trim);
        Iterator<WaitingEntry<C>> each = unidentified.iterator();
        while (each.hasNext()) {
            WaitingEntry<C> entry = each.next();
            AdmissionRequest request = entry.isRemoved() ? null : requests.apply(entry.connection());
            if (request != null) {
                entry.identified(request);
                byCustomer
                        .computeIfAbsent(request.customer(), missing -> new CustomerLine<>())
                        .add(entry, request);
            }
            if (request != null || entry.isRemoved()) {
                each.remove();
            }
        }
    }

    /** Removes the connection to serve next, of the customer that is chosen; null if none may be served. */
    public @Nullable C removeNext(Choice choice, long maxWaitMs, long nowMs) {
        byCustomer.values().removeIf(CustomerLine::trim);
        List<CustomerId> candidates = new ArrayList<>();
        byCustomer.forEach((customer, own) -> {
            if (own.newest().isFresh(maxWaitMs, nowMs)) {
                candidates.add(customer);
            }
        });
        if (candidates.isEmpty() && !hasFresh(maxWaitMs, nowMs)) {
            return null;
        }
        CustomerId chosen = choice.choose(candidates);
        if (chosen == null) {
            return null;
        }
        return remove(
                candidates.isEmpty()
                        ? entries.getLast()
                        : Objects.requireNonNull(byCustomer.get(chosen)).select(maxWaitMs, nowMs));
    }

    /** Returns the oldest connection if it has waited for this time, otherwise null. */
    public @Nullable C expired(long maxWaitMs, long nowMs) {
        return size == 0 || oldestWaitMs(nowMs) < maxWaitMs
                ? null
                : entries.getFirst().connection();
    }

    /** Removes the oldest connection. */
    public C removeOldest() {
        return remove(entries.getFirst());
    }

    private C remove(WaitingEntry<C> entry) {
        entry.remove();
        size--;
        if (size == 0) {
            clear();
        } else {
            WaitingEntry.trim(entries);
        }
        return entry.connection();
    }

    private void clear() {
        entries.clear();
        unidentified.clear();
        byCustomer.clear();
    }

    /** The number of references to connections, including those to removed ones. */
    int referenceCount() {
        return entries.size()
                + unidentified.size()
                + byCustomer.values().stream()
                        .mapToInt(CustomerLine::referenceCount)
                        .sum();
    }

    /** How long the oldest connection has waited; 0 if there is none. */
    public long oldestWaitMs(long nowMs) {
        return size == 0 ? 0 : nowMs - entries.getFirst().acceptedMs();
    }

    /** Removes all connections and returns them. */
    public Iterable<C> removeAll() {
        List<C> removed = new ArrayList<>();
        for (WaitingEntry<C> entry : entries) {
            if (!entry.isRemoved()) {
                entry.remove();
                removed.add(entry.connection());
            }
        }
        clear();
        size = 0;
        return removed;
    }
}
