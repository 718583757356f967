package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.xnio.XnioIoThread;

/**
 * The idle and head timeouts of the callers' connections of one I/O thread. Confined to this thread.
 *
 * <p>Undertow's own timeouts copy their limits into each connection when it is accepted, and judge by a timer and the wall
 * clock. Here the limits are read when they are applied, so that a change holds for open connections; time is that of a
 * monotonic clock, so that a step of the wall clock closes nothing; and an overdue connection is closed only after its
 * socket was read once more.
 *
 * <p>The connections of each phase are kept in the order in which they entered it, and one timer for all of them looks at
 * those at the front. A request costs a few operations on these sets and no timer. While former limits apply as well
 * ({@link RecentLimits}), the order is not that of the expiries, and all are looked at.
 *
 * <p>When all incomplete heads together hold too much memory ({@link IncompleteHeads}), the connections of the largest ones
 * are closed as if their heads were overdue.
 */
final class ConnectionTimeouts {
    private static final KeyValueLog LOG = KeyValueLog.of(ConnectionTimeouts.class);
    /** A connection is closed by at most this much later than its limit says; a shorter interval has no use. */
    private static final long CHECK_MS = 100;
    /** Bounds an incomplete head before the limits are known. */
    private static final int MAX_UNLIMITED_HEAD_BYTES = 64 << 10;
    /** Ends a connection with its first byte. */
    private static final int NO_HEAD_BYTES = -1;

    private final XnioIoThread thread;
    private final RecentLimits limits;
    private final LongSupplier clockMs;
    private final ConnectionEnds ends;
    private final Set<CallerConnection> idle = new LinkedHashSet<>();
    private final IncompleteHeads heads;
    private boolean armed;
    private boolean evicting;

    private ConnectionTimeouts(XnioIoThread thread, RecentLimits limits, LongSupplier clockMs, ConnectionEnds ends) {
        this.thread = thread;
        this.limits = limits;
        this.clockMs = clockMs;
        this.ends = ends;
        this.heads = IncompleteHeads.ofHeap(
                Runtime.getRuntime().maxMemory(), thread.getWorker().getIoThreadCount());
    }

    static ConnectionTimeouts of(XnioIoThread thread, RecentLimits limits, LongSupplier clockMs, ConnectionEnds ends) {
        return new ConnectionTimeouts(thread, limits, clockMs, ends);
    }

    ConnectionEnds ends() {
        return ends;
    }

    long nowMs() {
        return clockMs.getAsLong();
    }

    /** The limits that hold for what began at this time, or null if none are known. */
    @Nullable
    CallerLimits limits(long beganMs) {
        return limits.since(beganMs);
    }

    /** The largest size of a head that began at this time. */
    int maxHeadBytes(long beganMs) {
        CallerLimits applied = limits.since(beganMs);
        return applied == null ? MAX_UNLIMITED_HEAD_BYTES : applied.maxHeadBytes();
    }

    /** Counts a read of a part of a head that began at this time; returns how large the head may be beside all others. */
    int headBytesAllowed(long beganMs) {
        heads.onRead();
        if (heads.isExceeded() && !evicting) {
            evictLater();
        }
        if (heads.isExhausted()) {
            return NO_HEAD_BYTES;
        }
        return maxHeadBytes(beganMs);
    }

    /** Adds a connection that has entered its phase now. */
    void add(CallerConnection connection) {
        switch (connection.phase()) {
            case IDLE -> idle.add(connection);
            case HEAD -> heads.add(connection);
            case OPENING, BUSY, CLOSED -> {
                return;
            }
        }
        if (!armed) {
            arm();
        }
    }

    /** Removes a connection that is about to leave its phase. */
    void remove(CallerConnection connection) {
        switch (connection.phase()) {
            case IDLE -> idle.remove(connection);
            case HEAD -> heads.remove(connection);
            case OPENING, BUSY, CLOSED -> {}
        }
    }

    private void arm() {
        try {
            thread.executeAfter(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
            armed = true;
        } catch (RejectedExecutionException e) {
            LOG.debug("connection_check_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private void check() {
        armed = false;
        long nowMs = nowMs();
        limits.forgetExpired(nowMs);
        overdue(idle, limits::idleUntilMs, nowMs).forEach(CallerConnection::closeUnlessReceived);
        overdue(heads, limits::headUntilMs, nowMs).forEach(CallerConnection::closeUnlessReceived);
        if (!armed && !(idle.isEmpty() && heads.isEmpty())) {
            arm();
        }
    }

    /** Not at once, since the connection that is being read may be one of those. */
    private void evictLater() {
        try {
            thread.execute(this::evictLargestHeads);
            evicting = true;
        } catch (RejectedExecutionException e) {
            LOG.debug("connection_check_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private void evictLargestHeads() {
        List<CallerConnection> largest = heads.largest();
        largest.forEach(CallerConnection::closeUnlessReceived);
        evicting = false;
        if (!largest.isEmpty()) {
            LOG.warn("heads_evicted", "count", largest.size(), "maxBytes", heads.maxBytes());
        }
    }

    private List<CallerConnection> overdue(
            Iterable<CallerConnection> connections, LongUnaryOperator untilMs, long nowMs) {
        boolean ordered = limits.areUniform();
        List<CallerConnection> overdue = new ArrayList<>();
        for (CallerConnection connection : connections) {
            if (untilMs.applyAsLong(connection.sinceMs()) <= nowMs) {
                overdue.add(connection);
            } else if (ordered) {
                break;
            }
        }
        return overdue;
    }
}
