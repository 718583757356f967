package org.marjoramswitch.kernel.model;

import org.jspecify.annotations.Nullable;

/**
 * What the decisions know of a caller's request when it arrives; its cost is known only at its end.
 *
 * @param requestId unique within the entry's incarnation
 * @param urgency of RFC 9218, 0 (most urgent) to 7; 3 where the caller names none
 * @param repeatable whether a second execution does no harm
 * @param promptTokens estimated from the body's length
 * @param hintTokens the caller's guess of the output, 0 where none; rough and never trusted alone
 * @param prefixHash hash of the prompt's leading part, 0 where there is none to match
 * @param deadlineMs the time at which a request still waiting is refused; one with a placement also ends then if it runs
 * @param placement what its placement depends on, null for a request that is granted by numbers
 * @param digest the same for requests that are alike in customer, path and body; 0 where that is not known
 */
public record RequestSpec(
        long requestId,
        CustomerId customer,
        PoolId pool,
        int urgency,
        boolean repeatable,
        long promptTokens,
        long hintTokens,
        long prefixHash,
        long deadlineMs,
        @Nullable PlacementSpec placement,
        long digest) {
    public static final int DEFAULT_URGENCY = 3;
    public static final int LOWEST_URGENCY = 7;

    /** A request that is granted by numbers. */
    public RequestSpec(
            long requestId,
            CustomerId customer,
            PoolId pool,
            int urgency,
            boolean repeatable,
            long promptTokens,
            long hintTokens,
            long prefixHash,
            long deadlineMs) {
        this(requestId, customer, pool, urgency, repeatable, promptTokens, hintTokens, prefixHash, deadlineMs, null);
    }

    /** A request of which is not known whether others are alike. */
    public RequestSpec(
            long requestId,
            CustomerId customer,
            PoolId pool,
            int urgency,
            boolean repeatable,
            long promptTokens,
            long hintTokens,
            long prefixHash,
            long deadlineMs,
            @Nullable PlacementSpec placement) {
        this(
                requestId,
                customer,
                pool,
                urgency,
                repeatable,
                promptTokens,
                hintTokens,
                prefixHash,
                deadlineMs,
                placement,
                0);
    }

    /** The same request, to be told from others by this digest. */
    public RequestSpec withDigest(long newDigest) {
        return new RequestSpec(
                requestId,
                customer,
                pool,
                urgency,
                repeatable,
                promptTokens,
                hintTokens,
                prefixHash,
                deadlineMs,
                placement,
                newDigest);
    }
}
