package org.marjoramswitch.daemon.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.kernel.error.ErrorType;

/** Event loop that groups claims, writes each group in one transaction and completes its claims. */
final class ClaimLoop {
    private static final KeyValueLog LOG = KeyValueLog.of(ClaimLoop.class);
    private static final long IDLE_MS = 1_000;
    private static final long FIRST_BACKOFF_MS = 20;
    private static final long MAX_BACKOFF_MS = 1_000;
    private static final int MAX_ORPHANS = 4_096;

    private final ClaimWriter writer;
    private final ClaimOptions options;
    private final MpscArrayQueue<PendingClaim> arrived;
    private final MpscArrayQueue<OrphanedEntry> released = new MpscArrayQueue<>(MAX_ORPHANS);
    private final ClaimMetrics metrics;
    private final LongSupplier nowMs;
    private final Random random;
    private final TokenBucket writeBudget;
    private final ClaimQueue queue = ClaimQueue.create();
    private final Deque<OrphanedEntry> orphans = new ArrayDeque<>();
    private final ClaimLeases leases;
    private final Thread thread = new Thread(this::run, "claims");
    private int failures;
    private long backoffUntilMs;
    private long failingSinceMs;
    private volatile boolean down;
    private volatile boolean closed;

    private ClaimLoop(
            ClaimWriter writer,
            ClaimOptions options,
            MpscArrayQueue<PendingClaim> arrived,
            ClaimMetrics metrics,
            LongSupplier nowMs,
            ClaimLeases leases,
            long seed) {
        this.writer = writer;
        this.options = options;
        this.arrived = arrived;
        this.metrics = metrics;
        this.nowMs = nowMs;
        this.leases = leases;
        this.random = new Random(seed);
        this.writeBudget = TokenBucket.full(options.writesPerSecond(), options.burstWrites(), nowMs.getAsLong());
        thread.setDaemon(true);
    }

    static ClaimLoop of(
            ClaimWriter writer,
            ClaimOptions options,
            MpscArrayQueue<PendingClaim> arrived,
            ClaimMetrics metrics,
            LongSupplier nowMs,
            ClaimLeases leases,
            long seed) {
        return new ClaimLoop(writer, options, arrived, metrics, nowMs, leases, seed);
    }

    void start() {
        thread.start();
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether writes have failed for at least half the time that a claim may wait. */
    boolean isDown() {
        return down;
    }

    /** Wakes the thread after an offer to its ring. */
    void wake() {
        LockSupport.unpark(thread);
    }

    /** Requests deletion of an entry if it still belongs to the given claim; done while no claims wait. */
    void release(String key, String claimId) {
        // If the ring is full, the entry stays until its lease expires, which is safe.
        released.offer(new OrphanedEntry(key, claimId));
        wake();
    }

    void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        try {
            while (!closed) {
                runOnce(nowMs.getAsLong());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closed = true;
            arrived.drain(queue::add);
            queue.removeExpired(Long.MAX_VALUE).forEach(claim -> abandon(claim, "the instance is stopping"));
        }
    }

    private void runOnce(long now) throws InterruptedException {
        arrived.drain(queue::add);
        released.drain(this::addOrphan);
        queue.removeExpired(now).forEach(claim -> abandon(claim, "the platform's service did not answer in time"));
        long waitMs = waitMs(now);
        if (waitMs > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(waitMs));
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            return;
        }
        writeBudget.tryTake(now);
        if (queue.isEmpty()) {
            releaseOne(now);
            return;
        }
        writeGroup(now);
    }

    /** Time until there is something to write and both the rate limit and the backoff permit it; 0 if now. */
    private long waitMs(long now) {
        if (queue.isEmpty() && orphans.isEmpty()) {
            return IDLE_MS;
        }
        long permittedMs = Math.max(writeBudget.waitMs(now), backoffUntilMs - now);
        if (queue.isEmpty()) {
            return permittedMs;
        }
        boolean full = queue.keys() >= options.maxGroup();
        long groupMs = full ? 0 : queue.earliestArrivalMs() + options.groupWindowMs() - now;
        return Math.min(Math.max(permittedMs, groupMs), queue.earliestDeadlineMs() - now);
    }

    private void writeGroup(long now) throws InterruptedException {
        List<PendingClaim> group = queue.group(options.maxGroup());
        ClaimGroupResult result = writer.write(group, now);
        if (result instanceof ClaimGroupResult.Decided decided) {
            onSuccess();
            metrics.groupWritten(group.size());
            for (int i = 0; i < group.size(); i++) {
                decide(group.get(i), decided.existing().get(i), decided.leaseId());
            }
        } else if (result instanceof ClaimGroupResult.Uncertain uncertain) {
            metrics.groupUncertain();
            group.forEach(PendingClaim::markUncertain);
            onFailure(group, uncertain.reason());
        } else if (result instanceof ClaimGroupResult.NotWritten notWritten) {
            retryOrPause(group, notWritten);
        } else if (result instanceof ClaimGroupResult.Refused refused) {
            refuse(group, refused.reason());
        }
    }

    private void retryOrPause(List<PendingClaim> group, ClaimGroupResult.NotWritten notWritten) {
        if (!notWritten.retryNow()) {
            onFailure(group, notWritten.reason());
        }
    }

    private void decide(PendingClaim first, @Nullable Entry before, long leaseId) {
        List<PendingClaim> claims = queue.remove(first.key());
        boolean own =
                before == null || ClaimWriter.isClaim(before, first.value().claimId());
        if (own) {
            long endMs = leases.endMs(before == null ? leaseId : before.leaseId());
            complete(first, new ClaimResult.Claimed(first.key(), first.value(), endMs));
        }
        Optional<ClaimValue> holder =
                own ? Optional.of(first.value()) : ClaimValue.parse(before == null ? "" : before.value());
        claims.stream()
                .filter(claim -> !own || claim != first)
                .forEach(claim -> complete(claim, new ClaimResult.HeldBy(holder)));
    }

    private void refuse(List<PendingClaim> group, String reason) {
        for (PendingClaim claim : group) {
            queue.remove(claim.key()).forEach(refused -> abandon(refused, reason));
        }
    }

    private void abandon(PendingClaim claim, String reason) {
        if (claim.isUncertain()) {
            addOrphan(new OrphanedEntry(claim.key(), claim.value().claimId()));
        }
        complete(claim, ClaimStore.notClaimed(reason));
    }

    private void complete(PendingClaim claim, ClaimResult result) {
        metrics.completed(result);
        claim.result().complete(result);
    }

    private void onSuccess() {
        failures = 0;
        backoffUntilMs = 0;
        down = false;
    }

    private void onFailure(List<PendingClaim> group, String reason) {
        long now = nowMs.getAsLong();
        if (failures == 0) {
            failingSinceMs = now;
        }
        backOff(now);
        down = failures > 1 && now - failingSinceMs >= options.waitMs() / 2;
        LOG.warn(
                "claim_group_failed",
                "type",
                ErrorType.PLATFORM_UNAVAILABLE,
                "claims",
                group.size(),
                "attempts",
                failures,
                "reason",
                reason);
    }

    private void backOff(long now) {
        long boundMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(failures, Byte.SIZE));
        failures++;
        backoffUntilMs = now + 1 + (long) (random.nextDouble() * boundMs);
    }

    private void addOrphan(OrphanedEntry orphan) {
        if (orphans.size() >= MAX_ORPHANS) {
            orphans.removeFirst();
        }
        orphans.addLast(orphan);
    }

    private void releaseOne(long now) throws InterruptedException {
        OrphanedEntry orphan = orphans.getFirst();
        if (!writer.release(orphan.key(), orphan.claimId())) {
            backOff(now);
            return;
        }
        orphans.removeFirst();
        metrics.released();
    }

    /** An entry that may exist in the store although no request uses it. */
    private record OrphanedEntry(String key, String claimId) {}
}
