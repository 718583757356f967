package org.marjoramswitch.testkit.bench;

import java.util.PriorityQueue;

/** Event queue in virtual time, in microseconds. Tasks due at the same time run in the order of scheduling. */
final class VirtualClock {
    static final long US_PER_MS = 1_000;
    static final long US_PER_S = 1_000_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowUs;
    private long order;

    private VirtualClock() {}

    static VirtualClock create() {
        return new VirtualClock();
    }

    long nowUs() {
        return nowUs;
    }

    long nowMs() {
        return nowUs / US_PER_MS;
    }

    void after(long delayUs, Runnable task) {
        tasks.add(new Task(nowUs + delayUs, order++, task));
    }

    /** Runs {@code task} after {@code firstUs} and then every {@code periodUs}, without end. */
    void every(long firstUs, long periodUs, Runnable task) {
        after(firstUs, () -> {
            task.run();
            every(periodUs, periodUs, task);
        });
    }

    void runUntil(long untilUs) {
        for (Task next = tasks.peek(); next != null && next.atUs <= untilUs; next = tasks.peek()) {
            tasks.remove();
            nowUs = next.atUs;
            next.task.run();
        }
        nowUs = untilUs;
    }

    private record Task(long atUs, long order, Runnable task) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
