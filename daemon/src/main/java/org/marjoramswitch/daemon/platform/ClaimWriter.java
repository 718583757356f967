package org.marjoramswitch.daemon.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;

/** Writes groups of claims and releases single claims; each call blocks until the store responds. */
final class ClaimWriter {
    private static final int LEASE_NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long CALL_TIMEOUT_MS = 30_000;

    private final KeyValueStore store;
    private final KeyValueBatch batch;
    private final ClaimLeases leases;

    private ClaimWriter(KeyValueStore store, KeyValueBatch batch, ClaimLeases leases) {
        this.store = store;
        this.batch = batch;
        this.leases = leases;
    }

    static ClaimWriter of(KeyValueStore store, KeyValueBatch batch, ClaimLeases leases) {
        return new ClaimWriter(store, batch, leases);
    }

    ClaimGroupResult write(List<PendingClaim> group, long nowMs) throws InterruptedException {
        long leaseId = leases.currentLeaseId(nowMs);
        if (leaseId == 0) {
            KeyValueResult<Long> granted = await(store.grantLease(leases.ttlSeconds()));
            if (!(granted instanceof KeyValueResult.Answered<Long> answered)) {
                return new ClaimGroupResult.NotWritten("no lease: " + granted, false);
            }
            leaseId = answered.value();
            leases.onGranted(leaseId, nowMs);
        }
        return createEach(group, leaseId);
    }

    /** Deletes the entry if it still belongs to the given claim; false if a call to the store failed. */
    boolean release(String key, String claimId) throws InterruptedException {
        KeyValueResult<@Nullable Entry> read = await(store.get(key));
        if (!(read instanceof KeyValueResult.Answered<@Nullable Entry> answered)) {
            return false;
        }
        Entry entry = answered.value();
        if (entry == null || !isClaim(entry, claimId)) {
            return true;
        }
        KeyValueResult<Boolean> deleted =
                await(store.compareAndSwap(Map.of(key, entry.modRevision()), Map.of(), List.of(key), 0));
        return deleted instanceof KeyValueResult.Answered<Boolean>;
    }

    static boolean isClaim(Entry entry, String claimId) {
        return ClaimValue.parse(entry.value())
                .filter(value -> value.claimId().equals(claimId))
                .isPresent();
    }

    private ClaimGroupResult createEach(List<PendingClaim> group, long leaseId) throws InterruptedException {
        Map<String, String> entries = new LinkedHashMap<>();
        group.forEach(claim -> entries.put(claim.key(), claim.value().toJson()));
        KeyValueResult<List<@Nullable Entry>> result = await(batch.createEach(entries, leaseId));
        if (result instanceof KeyValueResult.Answered<List<@Nullable Entry>> answered) {
            return answered.value().size() == group.size()
                    ? new ClaimGroupResult.Decided(answered.value(), leaseId)
                    : new ClaimGroupResult.Uncertain("the response holds a different number of claims");
        }
        if (result instanceof KeyValueResult.Rejected<List<@Nullable Entry>> rejected) {
            return rejected(rejected.status(), rejected.reason(), leaseId);
        }
        if (result instanceof KeyValueResult.NotSent<List<@Nullable Entry>> notSent) {
            return new ClaimGroupResult.NotWritten(notSent.reason(), false);
        }
        return new ClaimGroupResult.Uncertain(result.toString());
    }

    private ClaimGroupResult rejected(int status, String reason, long leaseId) {
        if (status == LEASE_NOT_FOUND) {
            // The lease expired early, for example because the store was restored; the next attempt requests a new one.
            leases.onExpired(leaseId);
            return new ClaimGroupResult.NotWritten(reason, true);
        }
        if (status == TOO_MANY_REQUESTS) {
            return new ClaimGroupResult.NotWritten(reason, false);
        }
        return new ClaimGroupResult.Refused(reason);
    }

    private static <T extends @Nullable Object> KeyValueResult<T> await(CompletableFuture<KeyValueResult<T>> call)
            throws InterruptedException {
        try {
            return call.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            return new KeyValueResult.OutcomeUnknown<>(String.valueOf(e.getCause()));
        } catch (TimeoutException e) {
            return new KeyValueResult.OutcomeUnknown<>("the store did not end the call");
        }
    }
}
