package org.marjoramswitch.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Monotonic clock of an instance in milliseconds: the wall clock's time at the start plus the monotonic time elapsed
 * since. It never goes back when the wall clock is set, and its values are comparable to the timestamps in the log.
 */
final class InstanceClock implements LongSupplier {
    private final long startMs;
    private final long startNs;

    private InstanceClock(long startMs, long startNs) {
        this.startMs = startMs;
        this.startNs = startNs;
    }

    static InstanceClock start() {
        return new InstanceClock(System.currentTimeMillis(), System.nanoTime());
    }

    @Override
    public long getAsLong() {
        return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    /**
     * The wall clock's time at the start, used as the instance's incarnation: it increases with every restart and needs
     * no stored state.
     *
     * <p>Edge case: if the wall clock was set back between two starts, the incarnation is lower than the previous one,
     * and peers treat the instance as its previous incarnation. The incarnation is fixed at the start, so this ends
     * only with a restart after the wall clock has passed the previous start time.
     */
    long startMs() {
        return startMs;
    }
}
