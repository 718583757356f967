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
 * <p>An I/O thread runs its timers before it reads its sockets. If it is behind, bytes may have arrived long before the
 * timer fires, so the listener is called only if the sockets have been read once more without progress.
 */
final class ProgressDeadline {
    /** The shortest delay after which a timer fires in the next turn of its thread, behind the sockets of this one. */
    private static final long NEXT_TURN_MS = 1;

    private final XnioIoThread thread;
    private final LongSupplier clockMs;
    private final long timeoutMs;
    private final Runnable listener;
    private long lastProgressMs;
    private long progressCount;
    /** The progress count when the timeout was last found to have elapsed. */
    private long overdueAtCount = -1;

    private XnioExecutor.@Nullable Key timer;
    private long dueAtMs;
    private long firedLateMs;

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

    /** Time since the last progress or the start. */
    long silentMs() {
        return clockMs.getAsLong() - lastProgressMs;
    }

    /** How late the timer fired last, which shows how far its I/O thread is behind. */
    long firedLateMs() {
        return firedLateMs;
    }

    void stop() {
        XnioExecutor.Key armed = timer;
        if (armed != null) {
            armed.remove();
        }
    }

    private void arm(long delayMs) {
        dueAtMs = clockMs.getAsLong() + delayMs;
        timer = thread.executeAfter(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long nowMs = clockMs.getAsLong();
        firedLateMs = nowMs - dueAtMs;
        long remainingMs = lastProgressMs + timeoutMs - nowMs;
        if (remainingMs > 0) {
            overdueAtCount = -1;
            arm(remainingMs);
            return;
        }
        if (overdueAtCount != progressCount) {
            overdueAtCount = progressCount;
            arm(NEXT_TURN_MS);
            return;
        }
        overdueAtCount = -1;
        timer = null;
        listener.run();
    }
}
