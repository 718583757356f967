package org.marjoramswitch.daemon.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramswitch.daemon.caller.MemoryBudget.Kind;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * The bytes that an instance holds for one customer; see {@link MemoryBudget}. Thread-safe.
 *
 * <p>Two reservations at the same time may both fail where one would have fitted, since each is added before it is checked.
 */
final class MemoryAccount {
    private static final KeyValueLog LOG = KeyValueLog.of(MemoryAccount.class);
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 5_000;

    private final MemoryBudget budget;
    private final CustomerId customer;
    private final AtomicLong usedBytes = new AtomicLong();
    private final AtomicBoolean limited = new AtomicBoolean();

    MemoryAccount(MemoryBudget budget, CustomerId customer) {
        this.budget = budget;
        this.customer = customer;
    }

    /** Reserves the bytes, or reserves nothing and returns false. */
    boolean tryReserve(Kind kind, long bytes) {
        long own = usedBytes.addAndGet(bytes);
        long all = budget.add(kind, bytes);
        if (own <= kind.freeFactor() * (budget.maxBytes() - all)) {
            return true;
        }
        usedBytes.addAndGet(-bytes);
        budget.add(kind, -bytes);
        limitReached(kind, bytes);
        return false;
    }

    /** Reserves bytes that are held regardless of the limit. */
    void forceReserve(Kind kind, long bytes) {
        usedBytes.addAndGet(bytes);
        budget.add(kind, bytes);
    }

    void release(Kind kind, long bytes) {
        long own = usedBytes.addAndGet(-bytes);
        long all = budget.add(kind, -bytes);
        if (limited.get() && 2 * own <= kind.freeFactor() * (budget.maxBytes() - all)) {
            limitLeft(kind, own, all);
        }
    }

    void requestEnded(long heldMs) {
        budget.requestEnded(heldMs);
    }

    /** The time in which this many bytes become free, if requests hold their memory for as long as the latest ones did. */
    long retryAfterMs(Kind kind, long bytes) {
        double own = usedBytes.get();
        double all = budget.usedBytes();
        double excess = own + bytes - kind.freeFactor() * (budget.maxBytes() - all - bytes);
        // Each byte of the customer that is released lowers its use by one and raises its limit by the factor.
        double toRelease = excess / (1 + kind.freeFactor());
        double expectedMs = budget.meanHoldMs() * toRelease / Math.max(1, Math.max(own, all - own));
        return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedMs));
    }

    private void limitReached(Kind kind, long bytes) {
        if (!limited.get() && limited.compareAndSet(false, true)) {
            log("memory_limit_reached", kind, bytes, usedBytes.get(), budget.usedBytes());
        }
    }

    private void limitLeft(Kind kind, long own, long all) {
        if (limited.compareAndSet(true, false)) {
            log("memory_limit_left", kind, 0, own, all);
        }
    }

    private void log(String event, Kind kind, long bytes, long own, long all) {
        LOG.info(
                event,
                "customer",
                customer,
                "kind",
                kind.lowerName(),
                "bytes",
                bytes,
                "customerBytes",
                own,
                "heldBytes",
                all,
                "maxBytes",
                budget.maxBytes());
    }
}
