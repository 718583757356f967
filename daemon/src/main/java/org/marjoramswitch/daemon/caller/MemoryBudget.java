package org.marjoramswitch.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that request bodies and responses hold, so that callers cannot exhaust the heap. Thread-safe. */
final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    private MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static MemoryBudget of(long maxBytes) {
        return new MemoryBudget(maxBytes);
    }

    /** Reserves the bytes, or reserves nothing and returns false. */
    boolean tryReserve(long bytes) {
        if (usedBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        usedBytes.addAndGet(-bytes);
        return false;
    }

    /** Reserves bytes that are held regardless of the limit. */
    void forceReserve(long bytes) {
        usedBytes.addAndGet(bytes);
    }

    void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    long usedBytes() {
        return usedBytes.get();
    }
}
