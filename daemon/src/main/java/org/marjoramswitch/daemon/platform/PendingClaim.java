package org.marjoramswitch.daemon.platform;

import java.util.concurrent.CompletableFuture;

/** A claim that waits for its result. */
final class PendingClaim {
    private final String key;
    private final ClaimValue value;
    private final long arrivedMs;
    private final long deadlineMs;
    private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    private boolean uncertain;

    private PendingClaim(String key, ClaimValue value, long arrivedMs, long deadlineMs) {
        this.key = key;
        this.value = value;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
    }

    static PendingClaim of(String key, ClaimValue value, long arrivedMs, long deadlineMs) {
        return new PendingClaim(key, value, arrivedMs, deadlineMs);
    }

    String key() {
        return key;
    }

    ClaimValue value() {
        return value;
    }

    long arrivedMs() {
        return arrivedMs;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    CompletableFuture<ClaimResult> result() {
        return result;
    }

    /** Whether a write of this claim may have taken effect although no response was received. */
    boolean isUncertain() {
        return uncertain;
    }

    void markUncertain() {
        uncertain = true;
    }
}
