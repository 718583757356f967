package org.marjoramswitch.daemon.target;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Notifies a listener when there was no progress for the timeout. A single timer checks the time of the last progress
 * and is rescheduled for the remaining time, so that progress only stores a timestamp. Confined to its I/O thread.
 *
 * <p>If the I/O thread is behind, or the process was paused, bytes may have arrived long before the timer fires, so the
 * listener is called only if the sockets have been read once more without progress, see {@link ReadBarrier}.
 */
final class ProgressDeadline {
    private final XnioIoThread thread;
    private final ReadBarrier barrier;
    private final LongSupplier clockMs;
    private final long timeoutMs;
    private final Runnable listener;
    private long lastProgressMs;
    private long progressCount;
    private XnioExecutor.@Nullable Key timer;
    private long dueAtMs;
    private long firedLateMs;
    private boolean stopped;

    private ProgressDeadline(
            XnioIoThread thread, ReadBarrier barrier, LongSupplier clockMs, long timeoutMs, Runnable listener) {
        this.thread = thread;
        this.barrier = barrier;
        this.clockMs = clockMs;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    /** @param barrier the barrier of the I/O thread */
    static ProgressDeadline of(
            XnioIoThread thread, ReadBarrier barrier, LongSupplier clockMs, long timeoutMs, Runnable listener) {
        return new ProgressDeadline(thread, barrier, clockMs, timeoutMs, listener);
    }

    /** Starts the deadline, or restarts it after the listener was called. */
    void start() {
        lastProgressMs = clockMs.getAsLong();
        arm(timeoutMs);
    }

    /** Calls the listener again after the timeout, unless there is progress; called after the listener was called. */
    void repeat() {
        arm(timeoutMs);
    }

    void progress() {
        progressCount++;
        lastProgressMs = clockMs.getAsLong();
    }

    /** Number of progress reports so far. */
    long progressCount() {
        return progressCount;
    }

    /** Restarts the deadline with a shorter timeout after the listener was called. */
    void startBrief(long briefMs) {
        long shortMs = Math.min(briefMs, timeoutMs);
        lastProgressMs = clockMs.getAsLong() - timeoutMs + shortMs;
        arm(shortMs);
    }

    /** Time since the last progress or the start. */
    long silentMs() {
        return clockMs.getAsLong() - lastProgressMs;
    }

    /** How late the timer fired last, which shows how far its I/O thread is behind. */
    long firedLateMs() {
        return firedLateMs;
    }

    void stop() {
        stopped = true;
        XnioExecutor.Key armed = timer;
        if (armed != null) {
            armed.remove();
        }
    }

    private void arm(long delayMs) {
        stopped = false;
        dueAtMs = clockMs.getAsLong() + delayMs;
        timer = thread.executeAfter(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long nowMs = clockMs.getAsLong();
        firedLateMs = nowMs - dueAtMs;
        long remainingMs = lastProgressMs + timeoutMs - nowMs;
        if (remainingMs > 0) {
            arm(remainingMs);
            return;
        }
        timer = null;
        long countBeforeReads = progressCount;
        barrier.afterReads(() -> confirm(countBeforeReads));
    }

    private void confirm(long countBeforeReads) {
        if (stopped || timer != null) {
            return;
        }
        if (progressCount != countBeforeReads) {
            arm(Math.max(1, lastProgressMs + timeoutMs - clockMs.getAsLong()));
            return;
        }
        listener.run();
    }
}
