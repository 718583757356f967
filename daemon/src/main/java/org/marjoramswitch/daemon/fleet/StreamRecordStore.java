package org.marjoramswitch.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.core.EventSink;
import org.marjoramswitch.daemon.fleet.StreamRecordCodec.Batch;
import org.marjoramswitch.daemon.fleet.StreamRecordCodec.Snapshot;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.KeyValueStore.Range;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.stream.PersistedVersions;

/**
 * Stores the versions of streams in the key-value store, and passes them to the decision loop when the instance starts.
 *
 * <p>The snapshot of the versions is a single key. It is written only if it still has the value that this instance read
 * or wrote last; otherwise another instance has written it, and the decision loop adds that value to its own first.
 * Batches of streams are keys of their own under a lease, so that they disappear when no caller can resume these streams
 * any more. No call blocks, and what cannot be written for some time is dropped.
 */
public final class StreamRecordStore {
    static final String PREFIX = "streams/";
    static final String VERSIONS_KEY = PREFIX + "versions";
    static final String BATCHES_PREFIX = PREFIX + "begun/";

    private static final KeyValueLog LOG = KeyValueLog.of(StreamRecordStore.class);
    private static final long RETRY_MS = 250;
    private static final int MAX_ATTEMPTS = 40;
    /** Bounds what is kept while no write is answered; a value that is no longer kept is read as another instance's. */
    private static final int MAX_KNOWN_SNAPSHOTS = 64;
    /** Time during which batches share a lease, so that few leases are requested. */
    private static final long LEASE_SHARED_MS = 30_000;

    private static final long MAX_LEASE_MS = 600_000;

    private final KeyValueStore store;
    private final ListedVersions listedVersions;
    private final EventSink decisions;
    private final Clocks clocks;
    private final Delay delay;
    private final String batchPrefix;
    private volatile boolean restored;
    /**
     * The values of the snapshot that the decision loop knows: the one that was read or written last, and those whose
     * write may have taken effect.
     */
    private final Set<String> knownSnapshots = new LinkedHashSet<>();

    private long lastRevision;
    /** The newest snapshot that has not been written; null if there is none. */
    private @Nullable Unwritten unwritten;

    private boolean writingSnapshot;
    private long batchCount;
    private @Nullable CompletableFuture<Long> lease;
    private long leaseEndsAtMs;

    private StreamRecordStore(
            KeyValueStore store,
            ListedVersions listedVersions,
            EventSink decisions,
            Clocks clocks,
            Delay delay,
            String instanceLifetime) {
        this.store = store;
        this.listedVersions = listedVersions;
        this.decisions = decisions;
        this.clocks = clocks;
        this.delay = delay;
        this.batchPrefix = BATCHES_PREFIX + instanceLifetime + '-';
    }

    /**
     * The clocks of the instance, in milliseconds.
     *
     * @param monotonicMs for intervals within this process
     * @param wallClockMs roughly synchronized between instances
     */
    public record Clocks(LongSupplier monotonicMs, LongSupplier wallClockMs) {}

    /**
     * Starts to read what was persisted.
     *
     * @param instanceLifetime unique among all lifetimes of all instances
     */
    public static StreamRecordStore start(
            KeyValueStore store,
            ListedVersions listedVersions,
            EventSink decisions,
            Clocks clocks,
            Delay delay,
            String instanceLifetime) {
        StreamRecordStore records =
                new StreamRecordStore(store, listedVersions, decisions, clocks, delay, instanceLifetime);
        records.restore();
        return records;
    }

    /** Whether the records of former lifetimes have been read. */
    public boolean isRestored() {
        return restored;
    }

    private void restore() {
        CompletableFuture<?> unused = store.range(PREFIX).whenComplete((result, fault) -> {
            if (result instanceof KeyValueResult.Answered<Range> answered) {
                onRestored(answered.value());
            } else {
                delay.after(RETRY_MS, this::restore);
            }
        });
    }

    private void onRestored(Range range) {
        long nowMs = clocks.wallClockMs().getAsLong();
        List<Event.PoolStreams> streams = new ArrayList<>();
        Snapshot snapshot = null;
        for (Entry entry : range.entries()) {
            if (entry.key().equals(VERSIONS_KEY)) {
                snapshot = StreamRecordCodec.readSnapshot(entry);
                setKnownSnapshot(entry.value());
            } else {
                Batch batch = StreamRecordCodec.readBatch(entry);
                streams.addAll(batch == null ? List.of() : batch.streams(nowMs));
            }
        }
        setLastRevision(range.revision());
        PersistedVersions versions = snapshot == null ? null : versions(snapshot, range.revision(), nowMs);
        if (snapshot == null || versions == null) {
            restored(range, null, streams);
            return;
        }
        // A version may have come and left without a snapshot that names it, while no snapshot could be written.
        CompletableFuture<?> unused = listedVersions
                .since(snapshot.revision())
                .exceptionally(fault -> List.of())
                .thenAccept(listed -> restored(range, versions.withVersions(listed), streams));
    }

    private void restored(Range range, @Nullable PersistedVersions versions, List<Event.PoolStreams> streams) {
        LOG.info(
                "stream_records_read",
                "entries",
                range.entries().size(),
                "streams",
                streams.stream().mapToInt(pool -> pool.beginnings().size()).sum(),
                "versionsKnownForMs",
                versions == null ? -1 : versions.knownForMs());
        offerRestored(new Event.StreamsRestored(versions, streams));
    }

    /** The decision loop persists nothing before it has received this. */
    private void offerRestored(Event.StreamsRestored event) {
        if (decisions.offer(event)) {
            restored = true;
        } else {
            delay.after(RETRY_MS, () -> offerRestored(event));
        }
    }

    /**
     * The snapshot as of now; null if the store was restored from an older copy since it was written, because versions
     * that have served since may be missing.
     */
    private @Nullable PersistedVersions versions(Snapshot snapshot, long revision, long nowMs) {
        if (!store.isSameHistory(snapshot.revision(), revision)) {
            LOG.warn("stream_versions_outdated", "revision", snapshot.revision(), "storeRevision", revision);
            return null;
        }
        return snapshot.versions().readAfter(nowMs - snapshot.writtenAtMs());
    }

    /** Stores the versions; never blocks. */
    public synchronized void save(Action.PersistVersions persisted) {
        unwritten = new Unwritten(persisted.versions(), lastRevision);
        writeSnapshot(1);
    }

    private synchronized void writeSnapshot(int attempt) {
        if (writingSnapshot || unwritten == null) {
            return;
        }
        writingSnapshot = true;
        CompletableFuture<?> unused = store.get(VERSIONS_KEY)
                .thenCompose(this::replaceSnapshot)
                .whenComplete((written, fault) -> onSnapshotWritten(fault == null && written, attempt));
    }

    private CompletableFuture<Boolean> replaceSnapshot(KeyValueResult<@Nullable Entry> read) {
        if (!(read instanceof KeyValueResult.Answered<@Nullable Entry> answered)) {
            return CompletableFuture.completedFuture(false);
        }
        Entry current = answered.value();
        setLastRevision(answered.revision());
        if (current != null && !isKnownSnapshot(current.value())) {
            return CompletableFuture.completedFuture(adopt(current));
        }
        Unwritten taken = takeUnwritten();
        if (taken == null) {
            return CompletableFuture.completedFuture(true);
        }
        String value = StreamRecordCodec.write(
                new Snapshot(taken.versions, clocks.wallClockMs().getAsLong(), taken.revision));
        long expectedRevision = current == null ? 0 : current.modRevision();
        addKnownSnapshot(value);
        return store.compareAndSwap(Map.of(VERSIONS_KEY, expectedRevision), Map.of(VERSIONS_KEY, value), List.of(), 0)
                .thenApply(result -> onReplaced(result, value) || restoreUnwritten(taken));
    }

    private boolean onReplaced(KeyValueResult<Boolean> result, String value) {
        if (isTrue(result)) {
            setKnownSnapshot(value);
            return true;
        }
        // A write whose response is lost may have taken effect.
        if (!(result instanceof KeyValueResult.OutcomeUnknown<Boolean>)) {
            removeKnownSnapshot(value);
        }
        return false;
    }

    /**
     * Passes on another instance's snapshot; the decision loop saves its own again once it has added it. Returns false
     * if the decision loop has refused it.
     */
    private boolean adopt(Entry current) {
        Snapshot snapshot = StreamRecordCodec.readSnapshot(current);
        PersistedVersions versions = snapshot == null
                ? null
                : versions(snapshot, lastRevision(), clocks.wallClockMs().getAsLong());
        Unwritten replaced = takeUnwritten();
        if (!decisions.offer(new Event.StreamsRestored(versions, List.of()))) {
            return replaced == null || restoreUnwritten(replaced);
        }
        setKnownSnapshot(current.value());
        return true;
    }

    private synchronized void onSnapshotWritten(boolean done, int attempt) {
        writingSnapshot = false;
        if (done) {
            writeSnapshot(1);
        } else if (attempt < MAX_ATTEMPTS) {
            delay.after(RETRY_MS, () -> writeSnapshot(attempt + 1));
        } else {
            LOG.warn("stream_versions_not_written", "type", ErrorType.PLATFORM_UNAVAILABLE);
        }
    }

    /** Stores a batch of beginnings; never blocks. */
    public void save(Action.PersistStreams persisted) {
        String value = StreamRecordCodec.write(Batch.of(
                persisted.pool(), persisted.beginnings(), clocks.wallClockMs().getAsLong()));
        writeBatch(nextBatchKey(), value, persisted.keptMs(), 1);
    }

    private void writeBatch(String key, String value, long keptMs, int attempt) {
        CompletableFuture<Boolean> written = lease(keptMs)
                .thenCompose(leaseId -> leaseId == 0
                        ? CompletableFuture.completedFuture(false)
                        : store.compareAndSwap(Map.of(), Map.of(key, value), List.of(), leaseId)
                                .thenApply(StreamRecordStore::isTrue));
        CompletableFuture<?> unused = written.whenComplete((succeeded, fault) -> {
            if (fault == null && succeeded) {
                return;
            }
            dropLease();
            if (attempt < MAX_ATTEMPTS) {
                delay.after(RETRY_MS, () -> writeBatch(key, value, keptMs, attempt + 1));
            } else {
                LOG.warn("streams_not_written", "type", ErrorType.PLATFORM_UNAVAILABLE, "key", key);
            }
        });
    }

    /** The lease of a batch that is written now; 0 if none was granted. */
    private synchronized CompletableFuture<Long> lease(long keptMs) {
        long nowMs = clocks.monotonicMs().getAsLong();
        CompletableFuture<Long> current = lease;
        long neededMs = Math.min(keptMs, MAX_LEASE_MS - LEASE_SHARED_MS);
        if (current != null && nowMs + neededMs < leaseEndsAtMs) {
            return current;
        }
        long ttlMs = neededMs + LEASE_SHARED_MS;
        CompletableFuture<Long> granted = store.grantLease(TimeUnit.MILLISECONDS.toSeconds(ttlMs))
                .thenApply(result -> result instanceof KeyValueResult.Answered<Long> answered ? answered.value() : 0L);
        lease = granted;
        leaseEndsAtMs = nowMs + ttlMs;
        return granted;
    }

    /** Requests another lease for the next batch: the current one may have expired. */
    private synchronized void dropLease() {
        lease = null;
    }

    private synchronized String nextBatchKey() {
        return batchPrefix + ++batchCount;
    }

    private synchronized boolean isKnownSnapshot(String value) {
        return knownSnapshots.contains(value);
    }

    private synchronized void setKnownSnapshot(String value) {
        knownSnapshots.clear();
        knownSnapshots.add(value);
    }

    private synchronized void addKnownSnapshot(String value) {
        if (knownSnapshots.size() >= MAX_KNOWN_SNAPSHOTS) {
            knownSnapshots.remove(knownSnapshots.iterator().next());
        }
        knownSnapshots.add(value);
    }

    private synchronized void removeKnownSnapshot(String value) {
        knownSnapshots.remove(value);
    }

    private synchronized long lastRevision() {
        return lastRevision;
    }

    private synchronized void setLastRevision(long revision) {
        lastRevision = Math.max(lastRevision, revision);
    }

    private synchronized @Nullable Unwritten takeUnwritten() {
        Unwritten taken = unwritten;
        unwritten = null;
        return taken;
    }

    /** Keeps a snapshot whose write failed, unless there is a newer one. */
    private synchronized boolean restoreUnwritten(Unwritten failed) {
        unwritten = unwritten == null ? failed : unwritten;
        return false;
    }

    private static boolean isTrue(KeyValueResult<Boolean> result) {
        return result instanceof KeyValueResult.Answered<Boolean> answered && answered.value();
    }

    /**
     * A snapshot that has not been written.
     *
     * @param revision the store's newest revision that was known when the snapshot was taken. A later one would hide the
     *     versions that came and left between the two.
     */
    private record Unwritten(PersistedVersions versions, long revision) {}
}
