package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Reports how long connections waited before an I/O thread took them: in the listen queue of the operating system, where
 * their age is known only to be less than the time since the queue was last empty, and after their accept. One log event
 * for each interval in which either was late. Used by one thread; only the gauges may be read by others.
 */
final class AcceptReport {
    private static final KeyValueLog LOG = KeyValueLog.of(AcceptReport.class);
    private static final long INTERVAL_MS = 250;
    private static final long MIN_LATE_MS = 100;

    private long accepted;
    private long handedOver;
    private long reportedAtMs;
    private long queueEmptyAtMs;
    private volatile long unacceptedMs;
    private volatile int waiting;

    private AcceptReport(MetricRegistry registry) {
        Gauge<Long> unaccepted = () -> unacceptedMs;
        registry.gauge("caller.unaccepted_ms", () -> unaccepted);
        Gauge<Integer> waitingNow = () -> waiting;
        registry.gauge("caller.connections_waiting", () -> waitingNow);
    }

    static AcceptReport create(MetricRegistry registry) {
        return new AcceptReport(registry);
    }

    void accepted() {
        accepted++;
    }

    void handedOver() {
        handedOver++;
    }

    /** The listen queue is empty. */
    void queueEmpty(long nowMs) {
        queueEmptyAtMs = nowMs;
    }

    /**
     * Ends a round.
     *
     * @param limit why connections are left in the listen queue, empty if none are
     */
    void roundEnded(String limit, int waitingNow, int rejecting, int served, long oldestWaitMs, long nowMs) {
        unacceptedMs = nowMs - queueEmptyAtMs;
        waiting = waitingNow;
        if (nowMs - reportedAtMs < INTERVAL_MS) {
            return;
        }
        if (unacceptedMs >= MIN_LATE_MS || oldestWaitMs >= MIN_LATE_MS) {
            LOG.info(
                    "accepts_late",
                    "intervalMs",
                    nowMs - reportedAtMs,
                    "accepted",
                    accepted,
                    "handedOver",
                    handedOver,
                    "unacceptedMs",
                    unacceptedMs,
                    "limit",
                    limit.isEmpty() ? "-" : limit,
                    "waiting",
                    waitingNow,
                    "oldestWaitMs",
                    oldestWaitMs,
                    "rejecting",
                    rejecting,
                    "open",
                    served);
        }
        reportedAtMs = nowMs;
        accepted = 0;
        handedOver = 0;
    }
}
