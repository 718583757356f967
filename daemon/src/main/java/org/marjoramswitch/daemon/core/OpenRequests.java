package org.marjoramswitch.daemon.core;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;

/** Thread-safe registry of the requests that have arrived and not ended; bounds their number. */
final class OpenRequests {
    /** Maximum number of open requests, waiting or sent, per request that may wait. */
    private static final int OPEN_PER_WAITING = 2;

    private final int maxWaiting;
    private final AtomicLong lastId = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<Long, OpenRequest> byId = new ConcurrentHashMap<>();
    private final Map<CustomerId, Integer> byCustomer = new ConcurrentHashMap<>();

    private OpenRequests(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    static OpenRequests of(int maxWaiting) {
        return new OpenRequests(maxWaiting);
    }

    long nextId() {
        return lastId.incrementAndGet();
    }

    static int maxOpen(int maxWaiting) {
        return OPEN_PER_WAITING * maxWaiting;
    }

    /** Returns false if the maximum of waiting or of open requests is reached. */
    boolean add(OpenRequest request) {
        if (!tryAcquire(waiting, maxWaiting)) {
            return false;
        }
        if (!tryAcquire(open, maxOpen(maxWaiting))) {
            waiting.decrementAndGet();
            return false;
        }
        byId.put(request.id(), request);
        byCustomer.merge(request.spec().customer(), 1, Integer::sum);
        return true;
    }

    @Nullable
    OpenRequest find(long requestId) {
        return byId.get(requestId);
    }

    /** Counts a request as no longer waiting; called when it is first sent. */
    void stopWaiting() {
        waiting.decrementAndGet();
    }

    void remove(OpenRequest request) {
        if (byId.remove(request.id()) == null) {
            return;
        }
        open.decrementAndGet();
        byCustomer.computeIfPresent(request.spec().customer(), (customer, count) -> count == 1 ? null : count - 1);
        if (!request.wasSent()) {
            waiting.decrementAndGet();
        }
    }

    Collection<OpenRequest> all() {
        return List.copyOf(byId.values());
    }

    int open() {
        return open.get();
    }

    int openOf(CustomerId customer) {
        return byCustomer.getOrDefault(customer, 0);
    }

    int waiting() {
        return waiting.get();
    }

    private static boolean tryAcquire(AtomicInteger used, int limit) {
        if (used.incrementAndGet() <= limit) {
            return true;
        }
        used.decrementAndGet();
        return false;
    }
}
