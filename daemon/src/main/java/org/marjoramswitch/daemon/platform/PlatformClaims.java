package org.marjoramswitch.daemon.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.caller.Claims;
import org.marjoramswitch.kernel.model.CustomerId;

/** Implements {@link Claims} with a {@link ClaimStore}. */
public final class PlatformClaims implements Claims {
    private final ClaimStore store;
    private final long minUsableMs;
    private final LongSupplier nowMs;

    private PlatformClaims(ClaimStore store, long minUsableMs, LongSupplier nowMs) {
        this.store = store;
        this.minUsableMs = minUsableMs;
        this.nowMs = nowMs;
    }

    /**
     * @param minUsableMs minimum remaining validity of a claim when its result arrives: longer than any request waits,
     *     and less than the retention
     */
    public static PlatformClaims of(ClaimStore store, long minUsableMs, LongSupplier nowMs) {
        return new PlatformClaims(store, minUsableMs, nowMs);
    }

    @Override
    public CompletableFuture<Result> claim(CustomerId customer, String keyHash, String requestKey) {
        return store.claim(customer, keyHash, requestKey).thenApply(this::resultOf);
    }

    private Result resultOf(ClaimResult result) {
        if (result instanceof ClaimResult.Claimed claimed) {
            return checkUsable(claimed);
        }
        if (result instanceof ClaimResult.HeldBy held) {
            return new Result.HeldBy(held.holder().map(ClaimValue::requestKey).orElse(""));
        }
        return new Result.NotClaimed(((ClaimResult.NotClaimed) result).failure().detail());
    }

    /**
     * If this instance was paused after its claim, the claim may expire and another instance may claim the key while
     * the request still waits here. Such a request is rejected; it is certain that nothing was sent.
     */
    private Result checkUsable(ClaimResult.Claimed claimed) {
        if (claimed.usableUntilMs() - nowMs.getAsLong() >= minUsableMs) {
            return new Result.Claimed(() -> store.release(claimed));
        }
        store.release(claimed);
        return new Result.NotClaimed("the claim came too late");
    }
}
