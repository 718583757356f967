package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Decides which ended answers are kept for later tries. Beyond the limit the customer that holds the most bytes loses
 * its oldest answers, so that one with many or large answers cannot take the others' replays away. Not thread-safe.
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

    /** Keeps one more; answers the requests whose answers are given up for it. */
    List<Long> add(CustomerId customer, long requestId, long answerBytes) {
        Share share = shares.computeIfAbsent(customer, ignored -> new Share());
        share.bytesByRequest.put(requestId, answerBytes);
        share.bytes += answerBytes;
        owners.put(requestId, customer);
        bytes += answerBytes;
        List<Long> givenUp = new ArrayList<>();
        while (bytes > maxBytes) {
            givenUp.add(removeOldestOfLargest());
        }
        return givenUp;
    }

    void remove(long requestId) {
        CustomerId owner = owners.remove(requestId);
        Share share = owner == null ? null : shares.get(owner);
        Long answerBytes = share == null ? null : share.bytesByRequest.remove(requestId);
        if (share == null || answerBytes == null) {
            return;
        }
        share.bytes -= answerBytes;
        bytes -= answerBytes;
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

    /** One customer's kept answers, the oldest first. */
    private static final class Share {
        private final Map<Long, Long> bytesByRequest = new LinkedHashMap<>();
        private long bytes;
    }
}
