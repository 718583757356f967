package org.marjoramswitch.kernel.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The times at which the callers of open requests give up, or at which this has to be checked. */
final class RequestTimeouts {
    private final TreeSet<Timeout> byTime = new TreeSet<>(Comparator.comparingLong(Timeout::atMs)
            .thenComparingLong(timeout -> timeout.request().spec().requestId()));
    private final Map<Long, Timeout> byRequest = new HashMap<>();

    /** Sets the time of a request; replaces an earlier one. */
    void set(EntryRequest request, long atMs) {
        remove(request);
        Timeout timeout = new Timeout(atMs, request);
        byTime.add(timeout);
        byRequest.put(request.spec().requestId(), timeout);
    }

    void remove(EntryRequest request) {
        Timeout removed = byRequest.remove(request.spec().requestId());
        if (removed != null) {
            byTime.remove(removed);
        }
    }

    /** Removes and returns the requests whose time has come, in the order of their times. */
    List<EntryRequest> takeDue(long nowMs) {
        List<EntryRequest> due = new ArrayList<>();
        while (!byTime.isEmpty() && byTime.first().atMs() <= nowMs) {
            Timeout first = byTime.pollFirst();
            byRequest.remove(first.request().spec().requestId());
            due.add(first.request());
        }
        return due;
    }

    private record Timeout(long atMs, EntryRequest request) {}
}
