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
 * The requests that wait at an arbiter: those that can still meet their objective by customer, late ones by the end of
 * their hold.
 */
final class WaitingQueues {
    private final Map<InstanceId, Map<Long, Queued>> byEntry = new HashMap<>();
    private final Map<CustomerId, CustomerBacklog> inTime = new HashMap<>();
    private final NavigableMap<Deadline, WaitingRequest> inTimeByDeadline = new TreeMap<>();
    private final NavigableMap<Deadline, WaitingRequest> lateByHoldEnd = new TreeMap<>();

    /** Adds a request that can meet its objective if it is started before {@code lateAtMs}. */
    void addInTime(WaitingRequest request, long lateAtMs) {
        Deadline deadline = new Deadline(lateAtMs, request.arrival());
        queuedOf(request.entry()).put(request.placementId(), new Queued(request, deadline, false));
        inTime.computeIfAbsent(request.customer(), missing -> new CustomerBacklog())
                .add(request);
        inTimeByDeadline.put(deadline, request);
    }

    /** Adds a request that can no longer meet its objective and is held until {@code heldUntilMs}. */
    void addLate(WaitingRequest request, long heldUntilMs) {
        Deadline deadline = new Deadline(heldUntilMs, request.arrival());
        queuedOf(request.entry()).put(request.placementId(), new Queued(request, deadline, true));
        lateByHoldEnd.put(deadline, request);
    }

    @Nullable
    WaitingRequest remove(InstanceId entry, long placementId) {
        Queued queued = byEntry.getOrDefault(entry, Map.of()).get(placementId);
        if (queued == null) {
            return null;
        }
        queuedOf(entry).remove(placementId);
        if (queued.late()) {
            lateByHoldEnd.remove(queued.deadline());
            return queued.request();
        }
        inTimeByDeadline.remove(queued.deadline());
        CustomerBacklog backlog = of(queued.request().customer());
        backlog.remove(queued.request());
        if (backlog.size() == 0) {
            inTime.remove(queued.request().customer());
        }
        return queued.request();
    }

    /** Removes and returns all requests of an entry instance. */
    List<WaitingRequest> removeAll(InstanceId entry) {
        List<WaitingRequest> removed = new ArrayList<>();
        for (long placementId :
                List.copyOf(byEntry.getOrDefault(entry, Map.of()).keySet())) {
            WaitingRequest request = remove(entry, placementId);
            if (request != null) {
                removed.add(request);
            }
        }
        byEntry.remove(entry);
        return removed;
    }

    /** All waiting requests. */
    List<WaitingRequest> all() {
        List<WaitingRequest> all = new ArrayList<>(inTimeByDeadline.values());
        all.addAll(lateByHoldEnd.values());
        return all;
    }

    /** The customer's requests that can still meet their objective. */
    CustomerBacklog of(CustomerId customer) {
        return inTime.getOrDefault(customer, CustomerBacklog.EMPTY);
    }

    /** The next request that has become late, null if there is none. */
    @Nullable
    WaitingRequest nextLate(long nowMs) {
        return due(inTimeByDeadline, nowMs);
    }

    /** The next late request whose hold has expired, null if there is none. */
    @Nullable
    WaitingRequest nextHoldExpired(long nowMs) {
        return due(lateByHoldEnd, nowMs);
    }

    /** Whether this request is waiting and can still meet its objective. */
    boolean isInTime(WaitingRequest request) {
        Queued queued = queued(request);
        return queued != null && !queued.late();
    }

    /** Whether this request is waiting and can no longer meet its objective. */
    boolean isLate(WaitingRequest request) {
        Queued queued = queued(request);
        return queued != null && queued.late();
    }

    private @Nullable Queued queued(WaitingRequest request) {
        Queued queued = byEntry.getOrDefault(request.entry(), Map.of()).get(request.placementId());
        return queued != null && queued.request().arrival() == request.arrival() ? queued : null;
    }

    /** The late requests whose hold expires first, at most {@code maxCount}. */
    List<WaitingRequest> firstLate(int maxCount) {
        return lateByHoldEnd.values().stream().limit(maxCount).toList();
    }

    int lateCount() {
        return lateByHoldEnd.size();
    }

    int inTimeCount() {
        return inTimeByDeadline.size();
    }

    boolean isEmpty() {
        return lateByHoldEnd.isEmpty() && inTimeByDeadline.isEmpty();
    }

    private static @Nullable WaitingRequest due(NavigableMap<Deadline, WaitingRequest> byDeadline, long nowMs) {
        Map.Entry<Deadline, WaitingRequest> first = byDeadline.firstEntry();
        return first == null || first.getKey().atMs() > nowMs ? null : first.getValue();
    }

    private Map<Long, Queued> queuedOf(InstanceId entry) {
        return byEntry.computeIfAbsent(entry, missing -> new HashMap<>());
    }

    private record Queued(WaitingRequest request, Deadline deadline, boolean late) {}

    private record Deadline(long atMs, long arrival) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(arrival, other.arrival);
        }
    }
}
