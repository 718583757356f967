package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Counts connections that were rejected, logs them as one event for each interval, and reports them as demand. Used by
 * one thread; only the meters may be read by others.
 */
final class UnreadRejectionReport {
    private static final KeyValueLog LOG = KeyValueLog.of(UnreadRejectionReport.class);
    private static final long INTERVAL_MS = 100;

    /** Receives the number of requests that were rejected unread by customer, and of those whose customer is not known. */
    interface Demand {
        void rejected(Map<CustomerId, Integer> byCustomer, long unknown);
    }

    private final Demand demand;
    private final Meter rejectedMeter;
    private final Meter goneMeter;
    private final Map<CustomerId, Integer> byCustomer = new HashMap<>();
    private long rejected;
    private long gone;
    private long maxWaitMs;
    private long reportedAtMs;

    private UnreadRejectionReport(MetricRegistry registry, Demand demand) {
        this.demand = demand;
        this.rejectedMeter = registry.meter("caller.connections_rejected");
        this.goneMeter = registry.meter("caller.gone_unread");
    }

    static UnreadRejectionReport create(MetricRegistry registry, Demand demand) {
        return new UnreadRejectionReport(registry, demand);
    }

    /**
     * Counts a connection that was not served.
     *
     * @param told whether a rejection was written to it
     * @param customer of its request, null if it is not known
     * @param waitMs time from its accept until it was rejected
     */
    void add(boolean told, @Nullable CustomerId customer, long waitMs) {
        if (told) {
            rejected++;
            rejectedMeter.mark();
        } else {
            gone++;
            goneMeter.mark();
        }
        if (customer != null) {
            byCustomer.merge(customer, 1, Integer::sum);
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
        long known = byCustomer.values().stream().mapToInt(Integer::intValue).sum();
        demand.rejected(Map.copyOf(byCustomer), rejected + gone - known);
        byCustomer.clear();
        rejected = 0;
        gone = 0;
        maxWaitMs = 0;
    }
}
