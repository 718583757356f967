package org.marjoramswitch.daemon.caller;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Bounds the bytes that an instance holds for callers and targets, so that no load exhausts the heap. Thread-safe.
 *
 * <p>Each customer has an account. A customer may hold a multiple of the bytes that are still free, so it may hold most of
 * the budget while it is alone, and there is always something left for the others: with a factor of 2 one customer holds
 * at most two thirds, and two hold two fifths each. The limit of a customer needs no knowledge of how many there are.
 */
final class MemoryBudget {
    /**
     * The rest is for the instance's own state, for buffers of a request that are counted as an estimate only, and for the
     * garbage between two collections.
     */
    private static final double HEAP_SHARE = 0.3;

    /** Used until the first request has ended. */
    private static final double INITIAL_HOLD_MS = 500;

    private static final double HOLD_WEIGHT = 0.05;

    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();
    private final Map<Kind, Held> held = new EnumMap<>(Kind.class);
    private final Map<CustomerId, MemoryAccount> accounts = new ConcurrentHashMap<>();
    private volatile double meanHoldMs = INITIAL_HOLD_MS;

    private MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        for (Kind kind : Kind.values()) {
            held.put(kind, new Held(new AtomicLong(), new AtomicLong()));
        }
    }

    /** What bytes are held for. */
    enum Kind {
        /** Buffers and state of open requests, as an estimate for each. */
        REQUESTS(2),
        REQUEST_BODIES(2),
        /**
         * Bytes of responses that callers have not read. May use more than the other kinds, since a response that does not fit
         * is cut, while a request that does not fit is rejected as not run.
         */
        RESPONSES(4);

        private final int freeFactor;

        Kind(int freeFactor) {
            this.freeFactor = freeFactor;
        }

        /** A customer may hold this many times the bytes that are free. */
        int freeFactor() {
            return freeFactor;
        }

        String lowerName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private record Held(AtomicLong bytes, AtomicLong peakBytes) {}

    static MemoryBudget of(long maxBytes) {
        return new MemoryBudget(maxBytes);
    }

    /** The budget of a process with this maximum heap. */
    static long maxBytesOfHeap(long maxHeapBytes) {
        return (long) (maxHeapBytes * HEAP_SHARE);
    }

    MemoryAccount account(CustomerId customer) {
        MemoryAccount known = accounts.get(customer);
        return known != null ? known : accounts.computeIfAbsent(customer, missing -> new MemoryAccount(this, missing));
    }

    long maxBytes() {
        return maxBytes;
    }

    long usedBytes() {
        return usedBytes.get();
    }

    long usedBytes(Kind kind) {
        return held(kind).bytes().get();
    }

    /** The most bytes of this kind that were held at a time. */
    long peakBytes(Kind kind) {
        return held(kind).peakBytes().get();
    }

    /** Adds bytes, or subtracts negative ones; returns the bytes of all kinds. */
    long add(Kind kind, long bytes) {
        Held ofKind = held(kind);
        long now = ofKind.bytes().addAndGet(bytes);
        if (now > ofKind.peakBytes().get()) {
            ofKind.peakBytes().accumulateAndGet(now, Math::max);
        }
        return usedBytes.addAndGet(bytes);
    }

    /** Records for how long an ended request held its memory. An update that another thread overwrites is not missed. */
    void requestEnded(long heldMs) {
        double mean = meanHoldMs;
        meanHoldMs = mean + HOLD_WEIGHT * (heldMs - mean);
    }

    /** Mean time for which requests hold their memory. */
    double meanHoldMs() {
        return meanHoldMs;
    }

    private Held held(Kind kind) {
        Held ofKind = held.get(kind);
        if (ofKind == null) {
            throw new IllegalStateException("no count of " + kind);
        }
        return ofKind;
    }
}
