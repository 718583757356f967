package org.marjoramswitch.kernel.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Requests that wait for an arbiter whose list of targets is behind this entry's. The arbiter would select the same
 * unusable targets until its list has caught up, so it is asked again after a pause, and a bounded number of times.
 */
final class ListWaits {
    /** Lists on different instances differ by tens of milliseconds. */
    private static final long PAUSE_MS = 50;

    private static final int MAX_PAUSES = 10;

    /** In the order in which the waits end. */
    private final Deque<Wait> waits = new ArrayDeque<>();

    /** Adds a request; returns false if it has waited too often already. */
    boolean add(EntryRequest request, long nowMs) {
        if (request.listWaits() >= MAX_PAUSES) {
            return false;
        }
        request.countListWait();
        waits.add(new Wait(nowMs + PAUSE_MS, request));
        return true;
    }

    /** Removes and returns the requests whose wait has ended; some may have ended themselves. */
    List<EntryRequest> takeDue(long nowMs) {
        List<EntryRequest> due = new ArrayList<>();
        while (!waits.isEmpty() && waits.peek().untilMs() <= nowMs) {
            due.add(waits.remove().request());
        }
        return due;
    }

    private record Wait(long untilMs, EntryRequest request) {}
}
