package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Tracks the sizes of cached responses and selects those to evict. Above the limit, the customer with the most cached
 * bytes loses its oldest responses, so that a customer with many or large responses cannot evict those of others. Not
 * thread-safe.
 */
final class ResponseCache {
    private final long maxBytes;
    private final Map<CustomerId, Share> shares = new HashMap<>();
    private final Map<Long, CustomerId> owners = new HashMap<>();
    private long bytes;

    private ResponseCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static ResponseCache of(long maxBytes) {
        return new ResponseCache(maxBytes);
    }

    /** Adds a response and returns the requests whose responses are evicted. */
    List<Long> add(CustomerId customer, long requestId, long responseBytes) {
        Share share = shares.computeIfAbsent(customer, ignored -> new Share());
        share.bytesByRequest.put(requestId, responseBytes);
        share.bytes += responseBytes;
        owners.put(requestId, customer);
        bytes += responseBytes;
        List<Long> evicted = new ArrayList<>();
        while (bytes > maxBytes) {
            evicted.add(removeOldestOfLargest());
        }
        return evicted;
    }

    void remove(long requestId) {
        CustomerId owner = owners.remove(requestId);
        Share share = owner == null ? null : shares.get(owner);
        Long responseBytes = share == null ? null : share.bytesByRequest.remove(requestId);
        if (share == null || responseBytes == null) {
            return;
        }
        share.bytes -= responseBytes;
        bytes -= responseBytes;
        if (share.bytesByRequest.isEmpty()) {
            shares.remove(owner);
        }
    }

    private long removeOldestOfLargest() {
        Share largest = shares.values().stream()
                .max((a, b) -> Long.compare(a.bytes, b.bytes))
                .orElseThrow();
        long oldest = largest.bytesByRequest.keySet().iterator().next();
        remove(oldest);
        return oldest;
    }

    /** A customer's cached responses, oldest first. */
    private static final class Share {
        private final Map<Long, Long> bytesByRequest = new LinkedHashMap<>();
        private long bytes;
    }
}
