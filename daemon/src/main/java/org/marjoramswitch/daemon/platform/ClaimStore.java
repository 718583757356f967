package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Claims callers' Idempotency-Keys for requests that must not be repeated.
 *
 * <p>A key is claimed by creating {@code claims/<customer>/<sha-256 of the key>} if it does not exist. The entry names
 * the request and its instance, so a later request with the key knows which instance to query. A request may run only
 * if its claim completed with {@link ClaimResult.Claimed}; since the store creates an entry once, at most one request
 * runs for a key while the entry exists.
 *
 * <p>Claims are written in groups: one transaction for all waiting claims, at a limited rate. Each key has a nested
 * transaction that creates or reads it independently, so a conflict on one key does not affect the others, and the
 * holder of a conflicting key is part of the same response.
 *
 * <p>After a lost response the same group is written again: a claim that took effect is found as an entry with this
 * claim's id, any other one is created now. If the first write arrives after the second, it finds the entry and changes
 * nothing. Without a response the claim waits until its deadline and is then abandoned as
 * {@link ClaimResult.NotClaimed}. That rejection is correct whatever the outcome of the write, because this instance
 * then never runs the request. An entry that the write may have left behind is deleted once the store responds again;
 * until then, or until its lease expires, another request with this key finds it held, queries this instance, and
 * receives "not run".
 *
 * <p>In a long outage callers should not wait for what has already failed for others. Once writes have failed for half
 * the time that a claim may wait, one claim at a time waits and thereby probes the store; all others are rejected
 * immediately.
 *
 * <p>Cost: one call per group and one per lease, that is, one lease per half retention.
 */
public final class ClaimStore implements AutoCloseable {
    private static final String PREFIX = "claims/";
    private static final long RETRY_AFTER_MS = 2_000;

    private final ClaimOptions options;
    private final InstanceId instance;
    private final long incarnation;
    private final LongSupplier nowMs;
    private final ClaimLoop loop;
    private final MpscArrayQueue<PendingClaim> arrived;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong lastClaim = new AtomicLong();
    private final ClaimMetrics metrics;

    private ClaimStore(
            KeyValueStore store,
            KeyValueBatch batch,
            ClaimOptions options,
            InstanceId instance,
            long incarnation,
            MetricRegistry registry,
            LongSupplier nowMs) {
        this.options = options;
        this.instance = instance;
        this.incarnation = incarnation;
        this.nowMs = nowMs;
        this.arrived = new MpscArrayQueue<>(options.maxWaiting());
        this.metrics = ClaimMetrics.in(registry);
        ClaimLeases leases = ClaimLeases.of(options.retentionMs());
        ClaimWriter writer = ClaimWriter.of(store, batch, leases);
        this.loop = ClaimLoop.of(writer, options, arrived, metrics, nowMs, leases, incarnation);
    }

    /** Starts the thread that writes the claims; {@code incarnation} must differ for each start of the instance. */
    public static ClaimStore start(
            KeyValueStore store,
            KeyValueBatch batch,
            ClaimOptions options,
            InstanceId instance,
            long incarnation,
            MetricRegistry metrics,
            LongSupplier nowMs) {
        ClaimStore claims = new ClaimStore(store, batch, options, instance, incarnation, metrics, nowMs);
        claims.loop.start();
        return claims;
    }

    /**
     * Claims a customer's key, given as lower-case hex SHA-256, for a request. The future completes on the claim loop's
     * thread, at the latest after the option {@code waitMs} plus the maximum duration of a call to the store.
     */
    public CompletableFuture<ClaimResult> claim(CustomerId customer, String keyHash, String requestKey) {
        int others = waiting.getAndIncrement();
        if (others >= options.maxWaiting()) {
            metrics.overflowed();
            return refuse("too many claims wait");
        }
        if (others > 0 && loop.isDown()) {
            return refuse("the platform's service is down");
        }
        long now = nowMs.getAsLong();
        PendingClaim claim = PendingClaim.of(
                PREFIX + customer.name() + "/" + keyHash, valueOf(requestKey), now, now + options.waitMs());
        CompletableFuture<ClaimResult> result =
                claim.result().whenComplete((completed, failure) -> waiting.decrementAndGet());
        // The ring's capacity is maxWaiting, so it is never full here.
        arrived.offer(claim);
        loop.wake();
        if (loop.isClosed()) {
            // The loop may have exited before it received this claim and would then never complete it.
            claim.result().complete(notClaimed("the instance is stopping"));
        }
        return result;
    }

    /**
     * Releases the claim of a request that certainly did not run, so that its key may be used again. Otherwise the key
     * stays held until its lease expires.
     */
    public void release(ClaimResult.Claimed claimed) {
        loop.release(claimed.key(), claimed.value().claimId());
    }

    /** Stops the thread; waiting claims are abandoned. */
    @Override
    public void close() {
        loop.close();
    }

    private CompletableFuture<ClaimResult> refuse(String reason) {
        waiting.decrementAndGet();
        ClaimResult rejection = notClaimed(reason);
        metrics.completed(rejection);
        return CompletableFuture.completedFuture(rejection);
    }

    static ClaimResult.NotClaimed notClaimed(String reason) {
        return new ClaimResult.NotClaimed(Failure.notRun(ErrorType.CLAIM_UNAVAILABLE, RETRY_AFTER_MS, reason));
    }

    private ClaimValue valueOf(String requestKey) {
        String claimId = instance.name() + "/" + incarnation + "/" + lastClaim.incrementAndGet();
        return new ClaimValue(claimId, requestKey, instance, incarnation);
    }
}
