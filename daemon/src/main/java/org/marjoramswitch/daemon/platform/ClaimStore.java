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
 * Claims callers' own Idempotency-Keys for requests that may not be repeated.
 *
 * <p>A key is claimed by creating {@code claims/<customer>/<sha-256 of the key>} where it does not exist. The entry
 * names the request and the instance that has it, so whoever finds the key held knows whom to ask. Only a request whose
 * claim was answered with {@link ClaimResult.Claimed} may run; since the service creates an entry once, at most one
 * request runs for a key while the entry exists.
 *
 * <p>Claims are written in groups: one transaction for all that wait, at most some a second. It is a transaction of
 * nested ones, in which each key is created or read for itself, so a conflict on one key hinders no other, and the
 * holder of a conflicting key comes back in the same answer.
 *
 * <p>A lost answer is settled by writing the same group again: a claim that took effect is found as an entry with this
 * claim's own id, one that did not is created now. Should the first write arrive after the second, it finds the entry
 * and changes nothing. While no answer comes, the claim waits until its deadline and is then given up as
 * {@link ClaimResult.NotClaimed}. That refusal is true whatever became of the write, because this instance then never
 * runs the request. What the write may have left behind is taken back when the service answers again; until then, or
 * until its lease ends, another request with this key finds it held, asks this instance, and hears "not run".
 *
 * <p>In a long outage no caller should wait for what has failed for others. Once writes have failed for half the time
 * that a claim may wait, one claim at a time waits and thereby tries the service; all others are refused at once.
 *
 * <p>Cost: one call per group and one per lease, which is half the retention.
 */
public final class ClaimStore implements AutoCloseable {
    private static final String PREFIX = "claims/";
    private static final long RETRY_AFTER_MS = 2_000;

    private final ClaimOptions options;
    private final InstanceId instance;
    private final long incarnation;
    private final LongSupplier nowMs;
    private final ClaimLoop duty;
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
        this.duty = ClaimLoop.of(writer, options, arrived, metrics, nowMs, leases, incarnation);
    }

    /** Starts the duty that writes the claims; {@code incarnation} must be new with each start of the instance. */
    public static ClaimStore start(
            KeyValueStore store,
            KeyValueBatch batch,
            ClaimOptions options,
            InstanceId instance,
            long incarnation,
            MetricRegistry metrics,
            LongSupplier nowMs) {
        ClaimStore claims = new ClaimStore(store, batch, options, instance, incarnation, metrics, nowMs);
        claims.duty.start();
        return claims;
    }

    /**
     * Claims a customer's key, given by its lower-case hex SHA-256, for a request. The future completes on the duty's thread, at the latest after the option
     * {@code waitMs} and the longest time that a call to the service lasts.
     */
    public CompletableFuture<ClaimResult> claim(CustomerId customer, String keyHash, String requestKey) {
        int others = waiting.getAndIncrement();
        if (others >= options.maxWaiting()) {
            metrics.overflowed();
            return refuse("too many claims wait");
        }
        if (others > 0 && duty.isDown()) {
            return refuse("the platform's service is down");
        }
        long now = nowMs.getAsLong();
        PendingClaim claim = PendingClaim.of(
                PREFIX + customer.name() + "/" + keyHash, valueOf(requestKey), now, now + options.waitMs());
        CompletableFuture<ClaimResult> result =
                claim.result().whenComplete((done, failure) -> waiting.decrementAndGet());
        // The ring holds as many as may wait, so it is never full here.
        arrived.offer(claim);
        duty.wake();
        if (duty.isClosed()) {
            // The duty may have ended before it saw this claim, and would then never answer it.
            claim.result().complete(notClaimed("the instance is stopping"));
        }
        return result;
    }

    /**
     * Takes back the claim of a request that was certainly not run, so that its key may be used again. Without it the
     * key stays held until its retention ends.
     */
    public void release(ClaimResult.Claimed claimed) {
        duty.takeBack(claimed.key(), claimed.value().claimId());
    }

    /** Ends the duty; claims that wait are given up. */
    @Override
    public void close() {
        duty.close();
    }

    private CompletableFuture<ClaimResult> refuse(String reason) {
        waiting.decrementAndGet();
        ClaimResult refusal = notClaimed(reason);
        metrics.ended(refusal);
        return CompletableFuture.completedFuture(refusal);
    }

    static ClaimResult.NotClaimed notClaimed(String reason) {
        return new ClaimResult.NotClaimed(Failure.notRun(ErrorType.CLAIM_UNAVAILABLE, RETRY_AFTER_MS, reason));
    }

    private ClaimValue valueOf(String requestKey) {
        String claimId = instance.name() + "/" + incarnation + "/" + lastClaim.incrementAndGet();
        return new ClaimValue(claimId, requestKey, instance, incarnation);
    }
}
