package org.marjoramswitch.daemon.core;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all server errors that are held back while another attempt may follow. Each one has a limit of its own,
 * but a fleet in trouble sends one to each of thousands of requests. Thread-safe.
 */
final class HeldErrors {
    /** Room for more than a hundred errors of the maximum size in a heap of 100 MB, and for thousands of usual ones. */
    private static final double HEAP_SHARE = 0.02;

    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    private HeldErrors(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static HeldErrors of(long maxBytes) {
        return new HeldErrors(maxBytes);
    }

    /** The limit of a process with this maximum heap. */
    static HeldErrors ofHeap(long maxHeapBytes) {
        return of((long) (maxHeapBytes * HEAP_SHARE));
    }

    /** Returns false, and counts nothing, if the bytes exceed the limit. */
    boolean tryHold(int bytes) {
        if (heldBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        release(bytes);
        return false;
    }

    void release(int bytes) {
        heldBytes.addAndGet(-bytes);
    }

    long heldBytes() {
        return heldBytes.get();
    }
}
