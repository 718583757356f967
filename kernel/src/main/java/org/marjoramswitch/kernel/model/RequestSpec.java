package org.marjoramswitch.kernel.model;

import org.jspecify.annotations.Nullable;

/**
 * The properties of a caller's request that are known at its arrival. Its cost is known only at its end.
 *
 * @param requestId unique within the entry's incarnation
 * @param urgency urgency of RFC 9218, from 0 (most urgent) to 7; 3 if the caller specifies none
 * @param repeatable whether the request may be executed a second time
 * @param promptTokens prompt tokens, estimated from the body's length
 * @param hintTokens the caller's estimate of the output tokens, 0 if none; inaccurate and never used alone
 * @param prefixHash hash of the prompt's leading part, 0 if there is none
 * @param deadlineMs the time at which a waiting request is rejected; a request with a placement spec also ends then if
 *     it is running
 * @param placement properties for the placement, null for a request that is granted by counts of waiting requests
 * @param digest equal for requests with equal customer, path and body; 0 if unknown
 * @param progressTimeoutMs how long the caller waits without receiving a part of the response; 0 if until its deadline
 * @param readAtMs when the request was read; the progress timeout counts from then
 * @param route the name of the route on which the request arrived; null if it arrived on none
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
        long digest,
        long progressTimeoutMs,
        long readAtMs,
        @Nullable String route) {
    public static final int DEFAULT_URGENCY = 3;
    public static final int LOWEST_URGENCY = 7;

    /** Creates a request that is granted by counts of waiting requests. */
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

    /** Creates a request without a digest. */
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

    /** Creates a request whose caller waits until its deadline. */
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
            @Nullable PlacementSpec placement,
            long digest) {
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
                digest,
                0,
                0,
                null);
    }

    /** Returns the request with this digest. */
    public RequestSpec withDigest(long newDigest) {
        return with(newDigest, progressTimeoutMs, readAtMs, route);
    }

    /** Returns the request with this progress timeout of its caller, which counts from {@code startMs}. */
    public RequestSpec withProgressTimeout(long timeoutMs, long startMs) {
        return with(digest, timeoutMs, startMs, route);
    }

    /** Returns the request with this route. */
    public RequestSpec withRoute(String newRoute) {
        return with(digest, progressTimeoutMs, readAtMs, newRoute);
    }

    private RequestSpec with(long newDigest, long newProgressTimeoutMs, long newReadAtMs, @Nullable String newRoute) {
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
                newDigest,
                newProgressTimeoutMs,
                newReadAtMs,
                newRoute);
    }
}
