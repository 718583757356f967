package org.marjoramswitch.kernel.model;

import net.openhft.hashing.LongHashFunction;

/**
 * Identifies the stream that a request begins or resumes.
 *
 * @param requestKey see {@link #key}; a later request names it to resume the stream
 * @param resumed whether the caller has received a part of the stream in response to an earlier request
 * @param beginningKey the key of the request whose response began the stream; 0 if the caller names none
 */
public record StreamSpec(long requestKey, boolean resumed, long beginningKey) {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Creates the spec of a request that begins a stream. */
    public static StreamSpec beginning(long requestKey) {
        return new StreamSpec(requestKey, false, 0);
    }

    /** Creates the spec of a request that resumes a stream; {@code beginningKey} is 0 if its beginning is not named. */
    public static StreamSpec resuming(long requestKey, long beginningKey) {
        return new StreamSpec(requestKey, true, beginningKey);
    }

    /** Returns a key of a customer's request that is equal on all instances; 0 for an empty id. */
    public static long key(CustomerId customer, String requestId) {
        return requestId.isEmpty() ? 0 : HASH.hashChars(customer.name() + '\u0000' + requestId);
    }
}
