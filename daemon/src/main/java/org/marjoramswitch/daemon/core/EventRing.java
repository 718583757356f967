package org.marjoramswitch.daemon.core;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.event.Event;

/** Bounded queue of events for the decision loop: many producers, one consumer that parks while the queue is empty. */
final class EventRing {
    private final MpscArrayQueue<TimedEvent> queue;
    private volatile @Nullable Thread parked;

    private EventRing(int capacity) {
        this.queue = new MpscArrayQueue<>(capacity);
    }

    /** @param capacity rounded up to a power of two */
    static EventRing of(int capacity) {
        return new EventRing(capacity);
    }

    /** Adds the event unless its class has used up its share; never blocks. */
    boolean offer(EventClass eventClass, Event event) {
        if (!queue.offerIfBelowThreshold(TimedEvent.now(event), eventClass.limit(queue.capacity()))) {
            return false;
        }
        wake();
        return true;
    }

    @Nullable
    TimedEvent poll() {
        return queue.poll();
    }

    int size() {
        return queue.size();
    }

    /** Waits for an event, a call of {@link #wake} or the timeout. Only the consumer may call this. */
    void await(long timeoutNs) {
        parked = Thread.currentThread();
        // Checks the queue again after setting parked: an event added in between would not have woken this thread and
        // would wait until the next tick.
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, timeoutNs);
        }
        parked = null;
    }

    void wake() {
        Thread consumer = parked;
        if (consumer != null) {
            LockSupport.unpark(consumer);
        }
    }

    /** An event and the {@link System#nanoTime} at which it entered the ring. */
    record TimedEvent(Event event, long enteredNs) {
        static TimedEvent now(Event event) {
            return new TimedEvent(event, System.nanoTime());
        }
    }
}
