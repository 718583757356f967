package org.marjoramswitch.daemon.caller;

import net.openhft.hashing.LongHashFunction;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * A completely read and parsed request.
 *
 * @param hintTokens the caller's estimate of the output tokens; 0 if not given
 * @param prefixHash hash of the prompt's first characters; 0 if there is no prompt
 * @param digest see {@link RequestDigest}
 */
record Call(
        CustomerId customer,
        PoolSettings pool,
        CallHeaders headers,
        TargetCall targetCall,
        long hintTokens,
        long prefixHash,
        long digest) {
    private static final long BYTES_PER_TOKEN = 4;
    private static final long FINGERPRINT_FACTOR = 31;

    boolean repeatable() {
        return headers.repeatable() == null ? pool.repeatableByDefault() : headers.repeatable();
    }

    /** Whether the caller's idempotency key is claimed first. Only a call that is not repeatable justifies the cost. */
    boolean needsClaim() {
        return !repeatable() && headers.idempotencyKey() != null;
    }

    /** Hash that distinguishes this call from a different one with the same key. */
    long fingerprint() {
        LongHashFunction hash = LongHashFunction.xx3();
        long destination = hash.hashChars(targetCall.method() + ' ' + pool.id() + ' ' + targetCall.path());
        return destination * FINGERPRINT_FACTOR + hash.hashBytes(targetCall.body());
    }

    /** Estimated from the body's size; replaced by the target's usage report at the end. */
    long promptTokens() {
        return targetCall.body().length / BYTES_PER_TOKEN;
    }
}
