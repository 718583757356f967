package org.marjoramswitch.daemon.caller;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.xnio.XnioExecutor;

/**
 * Samples the instance's lag: the delay of a timer on an I/O thread that serves callers, or the time that the last
 * event waited to be processed by the decision loop, whichever is longer.
 */
final class LagProbe implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(LagProbe.class);

    private final XnioExecutor thread;
    private final LongSupplier decisionsLagMs;
    private final LongSupplier clockMs;
    private final PersistentLagDetector lag = new PersistentLagDetector();
    private long dueMs;
    private volatile boolean closed;

    private LagProbe(XnioExecutor thread, LongSupplier decisionsLagMs, LongSupplier clockMs) {
        this.thread = thread;
        this.decisionsLagMs = decisionsLagMs;
        this.clockMs = clockMs;
    }

    static LagProbe start(XnioExecutor thread, LongSupplier decisionsLagMs, LongSupplier clockMs) {
        LagProbe probe = new LagProbe(thread, decisionsLagMs, clockMs);
        probe.scheduleSample();
        return probe;
    }

    boolean isLagging() {
        return lag.isPersistent();
    }

    @Override
    public void close() {
        closed = true;
    }

    private void scheduleSample() {
        dueMs = clockMs.getAsLong() + PersistentLagDetector.SAMPLE_MS;
        try {
            thread.executeAfter(this::sample, PersistentLagDetector.SAMPLE_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("lag_probe_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private void sample() {
        if (closed) {
            return;
        }
        boolean wasLagging = lag.isPersistent();
        long lateMs = Math.max(clockMs.getAsLong() - dueMs, decisionsLagMs.getAsLong());
        lag.sample(lateMs);
        if (wasLagging != lag.isPersistent()) {
            LOG.info(wasLagging ? "instance_on_time" : "instance_behind", "lateMs", lateMs);
        }
        scheduleSample();
    }
}
