package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * The requests that wait at an arbiter: those that can still be in time by customer, those that are late by the time
 * until which they are held.
 */
final class WaitingQueues {
    private final Map<InstanceId, Map<Long, Held>> byEntry = new HashMap<>();
    private final Map<CustomerId, CustomerBacklog> inTime = new HashMap<>();
    private final NavigableMap<Moment, WaitingRequest> lateAt = new TreeMap<>();
    private final NavigableMap<Moment, WaitingRequest> late = new TreeMap<>();

    /** A request that can be in time; at {@code lateAtMs} it is so no longer. */
    void addInTime(WaitingRequest request, long lateAtMs) {
        Moment moment = new Moment(lateAtMs, request.arrival());
        ofEntry(request.entry()).put(request.ask(), new Held(request, moment, false));
        inTime.computeIfAbsent(request.customer(), missing -> new CustomerBacklog())
                .add(request);
        lateAt.put(moment, request);
    }

    /** A request that is late whatever is done, to be held until then. */
    void addLate(WaitingRequest request, long heldUntilMs) {
        Moment moment = new Moment(heldUntilMs, request.arrival());
        ofEntry(request.entry()).put(request.ask(), new Held(request, moment, true));
        late.put(moment, request);
    }

    @Nullable
    WaitingRequest remove(InstanceId entry, long ask) {
        Held held = byEntry.getOrDefault(entry, Map.of()).get(ask);
        if (held == null) {
            return null;
        }
        ofEntry(entry).remove(ask);
        if (held.late()) {
            late.remove(held.moment());
            return held.request();
        }
        lateAt.remove(held.moment());
        CustomerBacklog backlog = of(held.request().customer());
        backlog.remove(held.request());
        if (backlog.size() == 0) {
            inTime.remove(held.request().customer());
        }
        return held.request();
    }

    /** The entry is gone; returns what waited for it. */
    List<WaitingRequest> removeAll(InstanceId entry) {
        List<WaitingRequest> removed = new ArrayList<>();
        for (long ask : List.copyOf(byEntry.getOrDefault(entry, Map.of()).keySet())) {
            WaitingRequest request = remove(entry, ask);
            if (request != null) {
                removed.add(request);
            }
        }
        byEntry.remove(entry);
        return removed;
    }

    /** The customer's requests that can be in time. */
    CustomerBacklog of(CustomerId customer) {
        return inTime.getOrDefault(customer, CustomerBacklog.EMPTY);
    }

    /** The next request that has become late, null where there is none. */
    @Nullable
    WaitingRequest nextLate(long nowMs) {
        return due(lateAt, nowMs);
    }

    /** The next late request that is not to be held any longer. */
    @Nullable
    WaitingRequest nextOver(long nowMs) {
        return due(late, nowMs);
    }

    /** Whether this request waits and can still be in time. */
    boolean isInTime(WaitingRequest request) {
        Held held = byEntry.getOrDefault(request.entry(), Map.of()).get(request.ask());
        return held != null && !held.late() && held.request().arrival() == request.arrival();
    }

    /** The late requests that are to be given up soonest, so many at most. */
    List<WaitingRequest> firstLate(int most) {
        return late.values().stream().limit(most).toList();
    }

    int lateCount() {
        return late.size();
    }

    int inTimeCount() {
        return lateAt.size();
    }

    boolean isEmpty() {
        return late.isEmpty() && lateAt.isEmpty();
    }

    private static @Nullable WaitingRequest due(NavigableMap<Moment, WaitingRequest> moments, long nowMs) {
        Map.Entry<Moment, WaitingRequest> first = moments.firstEntry();
        return first == null || first.getKey().atMs() > nowMs ? null : first.getValue();
    }

    private Map<Long, Held> ofEntry(InstanceId entry) {
        return byEntry.computeIfAbsent(entry, missing -> new HashMap<>());
    }

    private record Held(WaitingRequest request, Moment moment, boolean late) {}

    private record Moment(long atMs, long arrival) implements Comparable<Moment> {
        @Override
        public int compareTo(Moment other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(arrival, other.arrival);
        }
    }
}
