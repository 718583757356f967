package org.marjoramswitch.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.marjoramswitch.kernel.model.CustomerId;

/** Fleet-wide claims on callers' idempotency keys. Each key is claimed by one request. */
@FunctionalInterface
public interface Claims {
    /** Claims nothing; for an instance without the platform's key-value store. */
    Claims NONE = (customer, keyHash, requestKey) ->
            CompletableFuture.completedFuture(new Result.NotClaimed("there is no claim store"));

    /**
     * Claims a key for a request unless another request holds it. Completes within a bounded time, never exceptionally.
     *
     * @param keyHash lower-case hex SHA-256 of the caller's key
     * @param requestKey key of the claiming request; names the request's home instance
     */
    CompletableFuture<Result> claim(CustomerId customer, String keyHash, String requestKey);

    /** Result of a claim. */
    sealed interface Result {
        /**
         * The request holds the key, from this claim or an earlier one.
         *
         * @param release releases the key; called only if the request certainly did not run; never blocks
         */
        record Claimed(Runnable release) implements Result {}

        /** Another request holds the key. */
        record HeldBy(String requestKey) implements Result {}

        /** It is unknown whether the request holds the key; the request must not run. */
        record NotClaimed(String reason) implements Result {}
    }
}
