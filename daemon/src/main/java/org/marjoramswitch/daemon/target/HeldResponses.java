package org.marjoramswitch.daemon.target;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory of what all connections of an instance have received from servers and hold until it is complete: heads,
 * events, rejections. Each part has a limit of its own, but hundreds of parts below their limits would exhaust the heap.
 *
 * <p>When the sum exceeds its limit, the holder of most bytes is evicted, not the one that happens to receive bytes at
 * that moment. An evicted holder releases its bytes on its own I/O thread, which may be late, so up to twice the limit may
 * be held; beyond that, a holder may not grow.
 *
 * <p>Holders of at most {@value #UNCOUNTED_BYTES} bytes are not counted, so that ordinary responses share no state. Their
 * memory is part of the estimate for each open request. Thread-safe.
 */
public final class HeldResponses {
    /** The rest is for callers' requests and responses, the instance's own state and garbage. */
    private static final double HEAP_SHARE = 0.1;

    static final int UNCOUNTED_BYTES = 4 << 10;

    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();
    private final AtomicLong evictedBytes = new AtomicLong();
    private final Set<Holder> holders = ConcurrentHashMap.newKeySet();

    private HeldResponses(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    public static HeldResponses of(long maxBytes) {
        return new HeldResponses(maxBytes);
    }

    /** The limit of a process with this maximum heap. */
    static HeldResponses ofHeap(long maxHeapBytes) {
        return of((long) (maxHeapBytes * HEAP_SHARE));
    }

    long heldBytes() {
        return heldBytes.get();
    }

    long maxBytes() {
        return maxBytes;
    }

    /**
     * @param onEvicted called on any thread; must lead to {@link Holder#close} unless {@link Holder#isEvicted} has become
     *     false
     */
    public Holder holder(Runnable onEvicted) {
        return new Holder(onEvicted);
    }

    private void evictWhileExceeded() {
        while (heldBytes.get() - evictedBytes.get() > maxBytes) {
            Holder largest = largest();
            if (largest == null) {
                return;
            }
            largest.evict();
        }
    }

    private @Nullable Holder largest() {
        Holder largest = null;
        for (Holder holder : holders) {
            if (!holder.evicted.get() && (largest == null || holder.bytes > largest.bytes)) {
                largest = holder;
            }
        }
        return largest;
    }

    /** The bytes of one connection or attempt. */
    public final class Holder {
        private final Runnable onEvicted;
        private final AtomicBoolean evicted = new AtomicBoolean();
        private volatile long bytes;
        private boolean closed;

        private Holder(Runnable onEvicted) {
            this.onEvicted = onEvicted;
        }

        /** Sets the bytes that are held now; false if this holder must not go on. */
        public boolean hold(long newBytes) {
            long counted = newBytes <= UNCOUNTED_BYTES ? 0 : newBytes;
            long added = counted - bytes;
            if (added == 0) {
                return !evicted.get();
            }
            if (!set(counted)) {
                return false;
            }
            if (added > 0) {
                evictWhileExceeded();
            }
            if (added > 0 && heldBytes.get() > 2 * maxBytes) {
                evict();
            }
            return !evicted.get();
        }

        boolean isEvicted() {
            return evicted.get();
        }

        /** Releases all bytes; bytes may be held again, also if an eviction has not been carried out yet. */
        synchronized void release() {
            if (bytes > 0) {
                set(0);
                evicted.set(false);
            }
        }

        /** Releases all bytes; nothing can be held afterwards. */
        public synchronized void close() {
            set(0);
            closed = true;
        }

        private synchronized boolean set(long counted) {
            if (closed) {
                return false;
            }
            long added = counted - bytes;
            bytes = counted;
            if (evicted.get()) {
                evictedBytes.addAndGet(added);
            }
            heldBytes.addAndGet(added);
            if (counted == 0) {
                holders.remove(this);
            } else {
                holders.add(this);
            }
            return true;
        }

        private void evict() {
            synchronized (this) {
                if (!evicted.compareAndSet(false, true)) {
                    return;
                }
                evictedBytes.addAndGet(bytes);
            }
            onEvicted.run();
        }
    }
}
