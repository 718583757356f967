package org.marjoramswitch.daemon.platform;

/**
 * Options for claiming callers' Idempotency-Keys.
 *
 * @param retentionMs minimum time for which a key stays claimed, counted from its claim
 * @param waitMs maximum time that a claim waits for the platform's key-value store before it is abandoned
 * @param writesPerSecond maximum rate of this instance's claim transactions
 * @param burstWrites maximum number of transactions in a burst after an idle period
 * @param groupWindowMs how long the first claim of a group waits for others
 * @param maxGroup maximum number of claims in one transaction
 * @param maxWaiting maximum number of waiting claims; further ones are rejected
 */
public record ClaimOptions(
        long retentionMs,
        long waitMs,
        double writesPerSecond,
        int burstWrites,
        long groupWindowMs,
        int maxGroup,
        int maxWaiting) {
    /** Retention of 10 minutes; 10 writes per second, which is 90 over nine instances. */
    public static ClaimOptions defaults() {
        return new ClaimOptions(600_000, 3_000, 10, 20, 2, KeyValueBatch.MAX_KEYS, 1_024);
    }
}
