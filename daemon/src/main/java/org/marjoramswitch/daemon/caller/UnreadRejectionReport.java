package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.admission.UnreadDemand;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Counts connections that were rejected, logs them as one event for each interval, and reports them as demand. Used by
 * one thread; only the meters may be read by others.
 */
final class UnreadRejectionReport {
    private static final KeyValueLog LOG = KeyValueLog.of(UnreadRejectionReport.class);
    private static final long INTERVAL_MS = 100;

    /** Receives the requests that were rejected unread, and the number of those whose head is not known. */
    interface Demand {
        void rejected(Collection<UnreadDemand> known, long unknown);
    }

    private record Key(CustomerId customer, PoolId pool) {}

    private static final class Sum {
        private long requests;
        private long tokens;
        private long unsized;

        private void add(AdmissionRequest request) {
            requests++;
            if (request.tokens() < 0) {
                unsized++;
            } else {
                tokens += request.tokens();
            }
        }
    }

    private final Demand demand;
    private final Meter rejectedMeter;
    private final Meter goneMeter;
    private final Map<Key, Sum> known = new HashMap<>();
    private long unknown;
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
     * @param request null if it is not known
     * @param waitMs time from its accept until it was rejected
     */
    void add(boolean told, @Nullable AdmissionRequest request, long waitMs) {
        if (told) {
            rejected++;
            rejectedMeter.mark();
        } else {
            gone++;
            goneMeter.mark();
        }
        if (request == null) {
            unknown++;
        } else {
            known.computeIfAbsent(new Key(request.customer(), request.pool()), missing -> new Sum())
                    .add(request);
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
        List<UnreadDemand> demands = new ArrayList<>();
        known.forEach((key, sum) ->
                demands.add(new UnreadDemand(key.customer(), key.pool(), sum.requests, sum.tokens, sum.unsized)));
        demand.rejected(demands, unknown);
        known.clear();
        unknown = 0;
        rejected = 0;
        gone = 0;
        maxWaitMs = 0;
    }
}
