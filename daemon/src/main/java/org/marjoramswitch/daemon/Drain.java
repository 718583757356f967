package org.marjoramswitch.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Tracks a graceful shutdown: a dedicated thread waits until all work of the instance has ended, the shutdown's time
 * has elapsed or the drain is closed.
 *
 * <p>An instance without work still stays up for {@code LINGER_MS}, so that callers and peers that do not yet know that
 * it is draining receive a rejection or a redirect instead of a refused connection.
 */
final class Drain implements AutoCloseable {
    private static final long LINGER_MS = 1_500;
    private static final long POLL_MS = 10;
    private static final KeyValueLog LOG = KeyValueLog.of(Drain.class);

    private final BooleanSupplier finished;
    private final LongSupplier clockMs;
    private final long deadlineMs;
    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicBoolean begun = new AtomicBoolean();
    private volatile boolean closed;
    private volatile long endsAtMs;

    private Drain(BooleanSupplier finished, LongSupplier clockMs, long deadlineMs) {
        this.finished = finished;
        this.clockMs = clockMs;
        this.deadlineMs = deadlineMs;
    }

    /**
     * @param finished whether all work has ended
     * @param deadlineMs maximum time that the shutdown waits after the instance stopped accepting requests
     */
    static Drain of(BooleanSupplier finished, LongSupplier clockMs, long deadlineMs) {
        return new Drain(finished, clockMs, deadlineMs);
    }

    /**
     * Returns true for the first call only, whose caller must then announce the shutdown.
     *
     * @param acceptingMs how long the instance still accepts requests
     */
    boolean begin(long acceptingMs) {
        if (!begun.compareAndSet(false, true)) {
            return false;
        }
        endsAtMs = clockMs.getAsLong() + acceptingMs + deadlineMs;
        return true;
    }

    /** When the shutdown ends even if work is open; valid once it has begun. */
    long endsAtMs() {
        return endsAtMs;
    }

    boolean hasBegun() {
        return begun.get();
    }

    /** Completes with true if all work ended in time, otherwise with false. */
    CompletableFuture<Boolean> result() {
        return result;
    }

    void startWaiting() {
        Thread thread = new Thread(this::await, "drain");
        thread.setDaemon(true);
        thread.start();
    }

    private void await() {
        long startMs = clockMs.getAsLong();
        while (!closed) {
            long nowMs = clockMs.getAsLong();
            long elapsedMs = nowMs - startMs;
            boolean done = finished.getAsBoolean();
            if ((done && elapsedMs >= LINGER_MS) || nowMs >= endsAtMs) {
                LOG.info("drain_ended", "whole", done, "elapsedMs", elapsedMs);
                result.complete(done);
                return;
            }
            pause();
        }
        result.complete(false);
    }

    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        } catch (InterruptedException interrupted) {
            closed = true;
        }
    }

    /** Ends the wait immediately. */
    @Override
    public void close() {
        closed = true;
        result.complete(false);
    }
}
