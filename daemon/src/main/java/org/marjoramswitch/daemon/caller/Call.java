package org.marjoramswitch.daemon.caller;

import net.openhft.hashing.LongHashFunction;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * One request that was read whole and understood.
 *
 * @param hintTokens the caller's guess of the output tokens, 0 where it gives none
 * @param prefixHash hash of the prompt's beginning, 0 where there is none
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

    /** Whether the caller's own key has to be claimed first: only an execution that must not be doubled is worth it. */
    boolean needsClaim() {
        return !repeatable() && headers.idempotencyKey() != null;
    }

    /** Tells this call from another under the same key. */
    long fingerprint() {
        LongHashFunction hash = LongHashFunction.xx3();
        long ofTarget = hash.hashChars(targetCall.method() + ' ' + pool.id() + ' ' + targetCall.path());
        return ofTarget * FINGERPRINT_FACTOR + hash.hashBytes(targetCall.body());
    }

    /** A rough count; the target's own report replaces it at the end. */
    long promptTokens() {
        return targetCall.body().length / BYTES_PER_TOKEN;
    }
}
