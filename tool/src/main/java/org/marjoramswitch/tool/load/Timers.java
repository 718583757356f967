package org.marjoramswitch.tool.load;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** One-shot timers of a single thread, run in order of due time and then of scheduling. Not thread-safe. */
final class Timers {
    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueNs).thenComparingLong(Timer::order));
    private long scheduled;

    /** @param task receives the time at which it runs */
    void at(long dueNs, LongConsumer task) {
        queue.add(new Timer(dueNs, scheduled++, task));
    }

    void runDue(long nowNs) {
        for (Timer next = queue.peek(); next != null && next.dueNs() <= nowNs; next = queue.peek()) {
            queue.remove();
            next.task().accept(nowNs);
        }
    }

    /** Returns the time until the next task is due, between 0 and {@code maxNs}. */
    long waitNs(long nowNs, long maxNs) {
        Timer next = queue.peek();
        return next == null ? maxNs : Math.max(0, Math.min(maxNs, next.dueNs() - nowNs));
    }

    private record Timer(long dueNs, long order, LongConsumer task) {}
}
