package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongConsumer;
import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Counts connections that were rejected, logs them as one event for each interval, and reports them as demand. Used by
 * one thread; only the meters may be read by others.
 */
final class UnreadRejectionReport {
    private static final KeyValueLog LOG = KeyValueLog.of(UnreadRejectionReport.class);
    private static final long INTERVAL_MS = 100;

    private final LongConsumer unreadDemand;
    private final Meter rejectedMeter;
    private final Meter goneMeter;
    private long rejected;
    private long gone;
    private long maxWaitMs;
    private long reportedAtMs;

    private UnreadRejectionReport(MetricRegistry registry, LongConsumer unreadDemand) {
        this.unreadDemand = unreadDemand;
        this.rejectedMeter = registry.meter("caller.connections_rejected");
        this.goneMeter = registry.meter("caller.gone_unread");
    }

    /** @param unreadDemand receives the number of requests that were not read */
    static UnreadRejectionReport create(MetricRegistry registry, LongConsumer unreadDemand) {
        return new UnreadRejectionReport(registry, unreadDemand);
    }

    /**
     * Counts a connection that was not served.
     *
     * @param told whether a rejection was written to it
     * @param waitMs time from its accept until it was rejected
     */
    void add(boolean told, long waitMs) {
        if (told) {
            rejected++;
            rejectedMeter.mark();
        } else {
            gone++;
            goneMeter.mark();
        }
        maxWaitMs = Math.max(maxWaitMs, waitMs);
    }

    boolean isEmpty() {
        return rejected + gone == 0;
    }

    /** Reports what was counted, if the interval has passed. */
    void flushIfDue(long nowMs) {
        if (!isEmpty() && nowMs - reportedAtMs >= INTERVAL_MS) {
            reportedAtMs = nowMs;
            flush();
        }
    }

    void flush() {
        if (isEmpty()) {
            return;
        }
        LOG.info("connections_rejected", "count", rejected, "goneUnread", gone, "maxWaitMs", maxWaitMs);
        unreadDemand.accept(rejected + gone);
        rejected = 0;
        gone = 0;
        maxWaitMs = 0;
    }
}
