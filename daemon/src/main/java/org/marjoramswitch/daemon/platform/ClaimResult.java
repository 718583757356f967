package org.marjoramswitch.daemon.platform;

import java.util.Optional;
import org.marjoramswitch.kernel.error.Failure;

/** Result of an attempt to claim a caller's key. */
public sealed interface ClaimResult {

    /**
     * The key belongs to this request.
     *
     * @param key the key of the claim's entry in the store
     * @param usableUntilMs the first byte of the request must not be sent to a target after this time: an entry
     *     instance that was paused for longer may have lost the claim to another one
     */
    record Claimed(String key, ClaimValue value, long usableUntilMs) implements ClaimResult {}

    /** The key belongs to another request, named by {@code holder}; empty if the stored claim cannot be parsed. */
    record HeldBy(Optional<ClaimValue> holder) implements ClaimResult {}

    /** The key was not claimed and this request will not run, as the failure states. */
    record NotClaimed(Failure failure) implements ClaimResult {}
}
