package org.marjoramswitch.kernel.entry;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

/** Queue of one customer's requests for one pool at this entry, ordered by urgency, then by arrival. */
final class CustomerQueue {
    /** Maximum requests examined for a cached prompt prefix. */
    private static final int PREFIX_LOOKAHEAD = 16;

    private static final Comparator<EntryRequest> ORDER = Comparator.comparingInt(
                    (EntryRequest request) -> request.spec().urgency())
            .thenComparingLong(request -> request.spec().requestId());

    private final CustomerId customer;
    private final TreeSet<EntryRequest> waiting = new TreeSet<>(ORDER);

    CustomerQueue(CustomerId customer) {
        this.customer = customer;
    }

    CustomerId customer() {
        return customer;
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    void add(EntryRequest request) {
        waiting.add(request);
    }

    boolean remove(EntryRequest request) {
        return waiting.remove(request);
    }

    /** The urgency of the most urgent request; the default if the queue is empty. */
    int urgency() {
        return waiting.isEmpty()
                ? RequestSpec.DEFAULT_URGENCY
                : waiting.first().spec().urgency();
    }

    /** Arrival time of the head request. The queue must not be empty. */
    long headArrivedAtMs() {
        return waiting.first().arrivedAtMs();
    }

    /**
     * Removes and returns the request to bind to a grant for {@code target}. This is the first request that has not
     * failed at the target, or one of the same urgency among the first {@value #PREFIX_LOOKAHEAD} whose prompt prefix
     * the target probably has cached. If all examined requests have failed there, the first that may be sent there is
     * returned. The choice does not affect the customer's share, so locality costs other customers nothing. Null if the
     * queue is empty or none of the examined requests may be sent to the target.
     *
     * @param excluded whether a request may not be sent to the target now
     */
    @Nullable
    EntryRequest take(TargetId target, PrefixDirectory prefixes, Predicate<EntryRequest> excluded) {
        EntryRequest request = selectFor(target, prefixes, excluded);
        if (request != null) {
            waiting.remove(request);
        }
        return request;
    }

    private @Nullable EntryRequest selectFor(
            TargetId target, PrefixDirectory prefixes, Predicate<EntryRequest> excluded) {
        EntryRequest head = null;
        EntryRequest firstFailed = null;
        int examined = 0;
        for (EntryRequest request : waiting) {
            if (examined++ >= PREFIX_LOOKAHEAD) {
                break;
            }
            if (request.hasFailedAt(target)) {
                firstFailed = firstFailed == null && !excluded.test(request) ? request : firstFailed;
                continue;
            }
            if (head != null && request.spec().urgency() != head.spec().urgency()) {
                break;
            }
            if (prefixes.holds(target, request.spec().prefixHash())) {
                return request;
            }
            head = head == null ? request : head;
        }
        return head == null ? firstFailed : head;
    }
}
