package org.marjoramswitch.testkit.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Log of the engine's cache events. Events become visible after a delay; optionally, every nth one is lost. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 4_096;

    private final long delayMs;
    private final int lostEvery;
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEventLog(long delayMs, int lostEvery) {
        this.delayMs = delayMs;
        this.lostEvery = lostEvery;
    }

    synchronized void add(long prefixHash, boolean present, long nowMs) {
        lastSequence++;
        if (lostEvery > 0 && lastSequence % lostEvery == 0) {
            return;
        }
        events.add(new CacheEvent(lastSequence, prefixHash, present, nowMs + delayMs));
        if (events.size() > MAX_EVENTS) {
            events.remove();
        }
    }

    /** Returns the events after the sequence number whose delay has elapsed. */
    synchronized List<CacheEvent> after(long sequence, long nowMs) {
        List<CacheEvent> visible = new ArrayList<>();
        for (CacheEvent event : events) {
            if (event.sequence > sequence && event.visibleAtMs <= nowMs) {
                visible.add(event);
            }
        }
        return visible;
    }

    /** Returns the last sequence number assigned, including events that are not visible or were lost. */
    synchronized long lastSequence() {
        return lastSequence;
    }

    synchronized void clear() {
        events.clear();
        lastSequence = 0;
    }

    record CacheEvent(long sequence, long prefixHash, boolean present, long visibleAtMs) {}
}
