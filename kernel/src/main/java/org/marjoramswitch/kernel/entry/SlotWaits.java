package org.marjoramswitch.kernel.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Requests whose attempts at silent targets this entry has ended, and for whose next attempts no slot is free. The target
 * might have responded, so these requests are not rejected like new ones: a slot is requested again after a pause, until
 * their callers' time is up.
 */
final class SlotWaits {
    /** Several slots of a busy cell become free within this time. */
    private static final long PAUSE_MS = 100;

    /** In the order in which the waits end. */
    private final Deque<Wait> waits = new ArrayDeque<>();

    /** Adds a request; returns false if it has to be rejected instead. */
    boolean add(EntryRequest request, long nowMs) {
        if (!request.isSilentAttemptEnded() || nowMs >= request.waitsUntilMs()) {
            return false;
        }
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
