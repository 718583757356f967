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

/** The thread that groups claims, writes each group and tells what became of its claims. */
final class ClaimLoop {
    private static final KeyValueLog LOG = KeyValueLog.of(ClaimLoop.class);
    private static final long IDLE_MS = 1_000;
    private static final long FIRST_BACKOFF_MS = 20;
    private static final long MAX_BACKOFF_MS = 1_000;
    private static final int MAX_LEFTOVERS = 4_096;

    private final ClaimWriter writer;
    private final ClaimOptions options;
    private final MpscArrayQueue<PendingClaim> arrived;
    private final MpscArrayQueue<Leftover> released = new MpscArrayQueue<>(MAX_LEFTOVERS);
    private final ClaimMetrics metrics;
    private final LongSupplier nowMs;
    private final Random random;
    private final TokenBucket writes;
    private final ClaimQueue queue = ClaimQueue.create();
    private final Deque<Leftover> leftovers = new ArrayDeque<>();
    private final ClaimLeases leases;
    private final Thread thread = new Thread(this::run, "claims");
    private int failures;
    private long pausedUntilMs;
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
        this.writes = TokenBucket.full(options.writesPerSecond(), options.burstWrites(), nowMs.getAsLong());
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

    /** Whether the service has failed for so long that a claim has little to hope for. */
    boolean isDown() {
        return down;
    }

    /** Tells the duty that something was put into its ring. */
    void wake() {
        LockSupport.unpark(thread);
    }

    /** Has an entry deleted, when there is time, where it is still the given claim's. */
    void takeBack(String key, String claimId) {
        // Where the ring is full the entry stays until its lease ends, which is safe.
        released.offer(new Leftover(key, claimId));
        wake();
    }

    void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        try {
            while (!closed) {
                turn(nowMs.getAsLong());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closed = true;
            arrived.drain(queue::add);
            queue.removeExpired(Long.MAX_VALUE).forEach(claim -> giveUp(claim, "the instance is stopping"));
        }
    }

    private void turn(long now) throws InterruptedException {
        arrived.drain(queue::add);
        released.drain(this::addLeftover);
        queue.removeExpired(now).forEach(claim -> giveUp(claim, "the platform's service did not answer in time"));
        long waitMs = waitMs(now);
        if (waitMs > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(waitMs));
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            return;
        }
        writes.tryTake(now);
        if (queue.isEmpty()) {
            takeBackOne(now);
            return;
        }
        writeGroup(now);
    }

    /** How long until there is something to write and leave to write it. */
    private long waitMs(long now) {
        if (queue.isEmpty() && leftovers.isEmpty()) {
            return IDLE_MS;
        }
        long permittedMs = Math.max(writes.waitMs(now), pausedUntilMs - now);
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
            succeeded();
            metrics.groupWritten(group.size());
            for (int i = 0; i < group.size(); i++) {
                decide(group.get(i), decided.before().get(i), decided.leaseId());
            }
        } else if (result instanceof ClaimGroupResult.Uncertain uncertain) {
            metrics.groupUncertain();
            group.forEach(PendingClaim::markUncertain);
            failed(group, uncertain.reason());
        } else if (result instanceof ClaimGroupResult.NotWritten notWritten) {
            retryOrPause(group, notWritten);
        } else if (result instanceof ClaimGroupResult.Refused refused) {
            refuse(group, refused.reason());
        }
    }

    private void retryOrPause(List<PendingClaim> group, ClaimGroupResult.NotWritten notWritten) {
        if (!notWritten.atOnce()) {
            failed(group, notWritten.reason());
        }
    }

    private void decide(PendingClaim first, @Nullable Entry before, long leaseId) {
        List<PendingClaim> claims = queue.remove(first.key());
        boolean own =
                before == null || ClaimWriter.isClaim(before, first.value().claimId());
        if (own) {
            long endMs = leases.endMs(before == null ? leaseId : before.leaseId());
            end(first, new ClaimResult.Claimed(first.key(), first.value(), endMs));
        }
        Optional<ClaimValue> holder =
                own ? Optional.of(first.value()) : ClaimValue.parse(before == null ? "" : before.value());
        claims.stream()
                .filter(claim -> !own || claim != first)
                .forEach(claim -> end(claim, new ClaimResult.HeldBy(holder)));
    }

    private void refuse(List<PendingClaim> group, String reason) {
        for (PendingClaim claim : group) {
            queue.remove(claim.key()).forEach(refused -> giveUp(refused, reason));
        }
    }

    private void giveUp(PendingClaim claim, String reason) {
        if (claim.isUncertain()) {
            addLeftover(new Leftover(claim.key(), claim.value().claimId()));
        }
        end(claim, ClaimStore.notClaimed(reason));
    }

    private void end(PendingClaim claim, ClaimResult result) {
        metrics.ended(result);
        claim.result().complete(result);
    }

    private void succeeded() {
        failures = 0;
        pausedUntilMs = 0;
        down = false;
    }

    private void failed(List<PendingClaim> group, String reason) {
        long now = nowMs.getAsLong();
        if (failures == 0) {
            failingSinceMs = now;
        }
        pause(now);
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

    private void pause(long now) {
        long boundMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(failures, Byte.SIZE));
        failures++;
        pausedUntilMs = now + 1 + (long) (random.nextDouble() * boundMs);
    }

    private void addLeftover(Leftover leftover) {
        if (leftovers.size() >= MAX_LEFTOVERS) {
            leftovers.removeFirst();
        }
        leftovers.addLast(leftover);
    }

    private void takeBackOne(long now) throws InterruptedException {
        Leftover leftover = leftovers.getFirst();
        if (!writer.takeBack(leftover.key(), leftover.claimId())) {
            pause(now);
            return;
        }
        leftovers.removeFirst();
        metrics.takenBack();
    }

    /** An entry that may exist and that no request uses. */
    private record Leftover(String key, String claimId) {}
}
