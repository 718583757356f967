package org.marjoramswitch.daemon.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.xnio.XnioExecutor;

/**
 * Logs rejections as one event for each customer, error and interval, with their number, since an event for each
 * rejection would cost more than the rejection. Thread-safe.
 */
final class RejectionLog {
    private static final KeyValueLog LOG = KeyValueLog.of(RejectionLog.class);
    private static final long INTERVAL_MS = 100;
    /** Bounds the memory; further customers are counted together until the next event. */
    private static final int MAX_ENTRIES = 256;

    private static final String NONE = "-";

    private final Map<Key, Count> counts = new HashMap<>();

    private RejectionLog() {}

    static RejectionLog create() {
        return new RejectionLog();
    }

    /**
     * Counts a rejection.
     *
     * @param timers runs the writing of the event
     * @param customer null if not identified
     */
    synchronized void add(XnioExecutor timers, @Nullable CustomerId customer, Failure failure) {
        if (counts.isEmpty()) {
            timers.executeAfter(this::flush, INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        Key key = new Key(customer, failure.type(), failure.detail());
        if (counts.size() >= MAX_ENTRIES && !counts.containsKey(key)) {
            key = new Key(null, failure.type(), "");
        }
        Count count = counts.computeIfAbsent(key, missing -> new Count());
        count.rejections++;
        count.maxRetryAfterMs = Math.max(count.maxRetryAfterMs, failure.retryAfterMs());
    }

    /** Writes the events of the present interval. */
    void flush() {
        Map<Key, Count> finished;
        synchronized (this) {
            finished = Map.copyOf(counts);
            counts.clear();
        }
        finished.forEach((key, count) -> LOG.info(
                "requests_rejected",
                "customer",
                key.customer() == null ? NONE : key.customer(),
                "error",
                key.type(),
                "detail",
                key.detail().isEmpty() ? NONE : key.detail(),
                "count",
                count.rejections,
                "maxRetryAfterMs",
                count.maxRetryAfterMs));
    }

    private record Key(@Nullable CustomerId customer, ErrorType type, String detail) {}

    /** The rejections of one interval; guarded by the log's lock until the interval has ended. */
    private static final class Count {
        private long rejections;
        private long maxRetryAfterMs;
    }
}
