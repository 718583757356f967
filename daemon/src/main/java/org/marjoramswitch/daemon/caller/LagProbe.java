package org.marjoramswitch.daemon.caller;

import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.xnio.XnioExecutor;

/**
 * Samples the instance's lag: the delay of a timer on each I/O thread that serves callers, or the time that the last
 * event waited to be processed by the decision loop, whichever is longer.
 *
 * <p>An I/O thread runs its timers only when its task queue is empty, and each new connection is a task. While
 * connections arrive faster than they are served, no timer fires at all, so an overdue timer counts as well, provided that
 * requests are handled meanwhile: after a pause of the process the first ones may come before the timer.
 */
final class LagProbe implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(LagProbe.class);
    /** Longer than a single pause that {@link PersistentLagDetector} ignores. */
    private static final long MAX_OVERDUE_MS = 200;
    /** Overdue timers from here on are sampled for admission control, as the lag that counts there. */
    private static final long MIN_SAMPLED_OVERDUE_MS = 60;
    /** Requests handled while a timer is overdue that show a lag and not a pause. */
    private static final int MIN_REQUESTS = 20;

    private final LongSupplier decisionsLagMs;
    private final LongSupplier clockMs;
    private final List<Sampler> samplers;
    private final Listener listener;
    private volatile boolean closed;

    /** Receives the samples of the lag. */
    interface Listener {
        Listener NONE = new Listener() {
            @Override
            public void lagSampled(long lagMs) {}

            @Override
            public void lagAtLeast(long lagMs) {}
        };

        /** A timer fired late by this, or the decision loop lags by this. */
        void lagSampled(long lagMs);

        /** A timer that has not fired is overdue by this. */
        void lagAtLeast(long lagMs);
    }

    private LagProbe(
            List<? extends XnioExecutor> threads,
            LongSupplier decisionsLagMs,
            LongSupplier clockMs,
            Listener listener) {
        this.listener = listener;
        this.decisionsLagMs = decisionsLagMs;
        this.clockMs = clockMs;
        this.samplers = threads.stream().map(Sampler::new).toList();
    }

    static LagProbe start(List<? extends XnioExecutor> threads, LongSupplier decisionsLagMs, LongSupplier clockMs) {
        return start(threads, decisionsLagMs, clockMs, Listener.NONE);
    }

    static LagProbe start(
            List<? extends XnioExecutor> threads,
            LongSupplier decisionsLagMs,
            LongSupplier clockMs,
            Listener listener) {
        LagProbe probe = new LagProbe(threads, decisionsLagMs, clockMs, listener);
        probe.samplers.forEach(Sampler::schedule);
        return probe;
    }

    /** Whether the instance lags; called once for each request. */
    boolean isLagging() {
        long nowMs = clockMs.getAsLong();
        for (Sampler sampler : samplers) {
            if (sampler.isLagging(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** As {@link #isLagging}, but does not count as a request. */
    boolean isBehind() {
        long nowMs = clockMs.getAsLong();
        return samplers.stream().anyMatch(sampler -> sampler.isBehind(nowMs));
    }

    /**
     * Samples the lag from the timers that are overdue, since they may not fire at all under load; called once for each
     * request. The first requests after a pause of the process come before the timers and are not sampled.
     */
    void sampleOverdue() {
        long nowMs = clockMs.getAsLong();
        for (Sampler sampler : samplers) {
            long overdueMs = sampler.overdueMs(nowMs);
            if (overdueMs >= MIN_SAMPLED_OVERDUE_MS && sampler.requestsWhileOverdue.incrementAndGet() > MIN_REQUESTS) {
                listener.lagAtLeast(overdueMs);
            }
        }
    }

    /** How long the timer of an I/O thread is overdue at present, the longest of all threads. */
    long overdueMs() {
        long nowMs = clockMs.getAsLong();
        long longest = 0;
        for (Sampler sampler : samplers) {
            longest = Math.max(longest, sampler.overdueMs(nowMs));
        }
        return longest;
    }

    @Override
    public void close() {
        closed = true;
    }

    /** Samples the lag of one I/O thread. */
    private final class Sampler {
        private final XnioExecutor thread;
        private final PersistentLagDetector lag = new PersistentLagDetector();
        private final AtomicInteger requestsWhileOverdue = new AtomicInteger();
        private volatile long dueMs;

        Sampler(XnioExecutor thread) {
            this.thread = thread;
        }

        boolean isLagging(long nowMs) {
            if (lag.isPersistent()) {
                return true;
            }
            return nowMs - dueMs >= MAX_OVERDUE_MS && requestsWhileOverdue.incrementAndGet() > MIN_REQUESTS;
        }

        boolean isBehind(long nowMs) {
            return lag.isPersistent() || (nowMs - dueMs >= MAX_OVERDUE_MS && requestsWhileOverdue.get() > MIN_REQUESTS);
        }

        long overdueMs(long nowMs) {
            return Math.max(0, nowMs - dueMs);
        }

        void schedule() {
            dueMs = clockMs.getAsLong() + PersistentLagDetector.SAMPLE_MS;
            requestsWhileOverdue.set(0);
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
            long overdueMs = clockMs.getAsLong() - dueMs;
            boolean wasLagging = lag.isPersistent();
            long lateMs = Math.max(overdueMs, decisionsLagMs.getAsLong());
            lag.sample(lateMs);
            listener.lagSampled(lateMs);
            if (wasLagging != lag.isPersistent()) {
                LOG.info(wasLagging ? "instance_on_time" : "instance_behind", "lateMs", lateMs);
            } else if (overdueMs >= MAX_OVERDUE_MS) {
                LOG.info("instance_was_behind", "lateMs", lateMs);
            }
            schedule();
        }
    }
}
