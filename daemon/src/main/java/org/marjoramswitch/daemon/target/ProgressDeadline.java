package org.marjoramswitch.daemon.target;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Notifies a listener when there was no progress for the timeout. A single timer checks the time of the last progress
 * and is rescheduled for the remaining time, so that progress only stores a timestamp. Confined to its I/O thread.
 */
final class ProgressDeadline {
    private final XnioIoThread thread;
    private final LongSupplier clockMs;
    private final long timeoutMs;
    private final Runnable listener;
    private long lastProgressMs;
    private long progressCount;
    private XnioExecutor.@Nullable Key timer;

    private ProgressDeadline(XnioIoThread thread, LongSupplier clockMs, long timeoutMs, Runnable listener) {
        this.thread = thread;
        this.clockMs = clockMs;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    static ProgressDeadline of(XnioIoThread thread, LongSupplier clockMs, long timeoutMs, Runnable listener) {
        return new ProgressDeadline(thread, clockMs, timeoutMs, listener);
    }

    /** Starts the deadline, or restarts it after the listener was called. */
    void start() {
        lastProgressMs = clockMs.getAsLong();
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

    void stop() {
        XnioExecutor.Key armed = timer;
        if (armed != null) {
            armed.remove();
        }
    }

    private void arm(long delayMs) {
        timer = thread.executeAfter(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long remainingMs = lastProgressMs + timeoutMs - clockMs.getAsLong();
        if (remainingMs > 0) {
            arm(remainingMs);
            return;
        }
        timer = null;
        listener.run();
    }
}
