package org.marjoramswitch.kernel;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.stream.PersistedVersions;
import org.marjoramswitch.kernel.stream.ServedVersions;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Persists the versions of streams outside the instances, so that callers can resume their streams after all instances
 * have crashed together.
 *
 * <p>Two kinds of records are written, and read by an instance when it starts. A snapshot of the software versions that
 * have served: while a single one has served a pool for as long as a stream may last, it is the version of every stream.
 * Otherwise the beginnings of streams, in batches: first those that are known, then new ones as entries report them.
 *
 * <p>Nothing waits for a write. A stream that began less than an interval before the crash is not known afterwards, and
 * resuming it is rejected.
 *
 * <p>Cost: while one version serves, a write of the snapshot per {@link #REFRESH_MS} for the whole fleet; otherwise also
 * a write per {@link #BATCH_INTERVAL_MS} and arbiter, of 16 bytes per stream.
 */
final class StreamPersistence {
    /** A stream is at risk for this long after it began, if all instances crash together. */
    static final long BATCH_INTERVAL_MS = 250;
    /** Interval at which an unchanged snapshot is written again: the store may have been restored from an older copy. */
    static final long REFRESH_MS = 10_000;

    private static final int MAX_PER_BATCH = 10_000;

    private final InstanceId self;
    private final FleetState fleet;
    private final StreamDirectory directory;
    private final ServedVersions versions;
    /** Streams reported by entries that have not been written yet. */
    private final Map<PoolId, Set<Long>> unwritten = new TreeMap<>();
    /** The pools whose streams known to this instance have been written, and whose new ones are. */
    private final Set<PoolId> written = new HashSet<>();

    private boolean restored;
    private @Nullable SnapshotState snapshotState;
    private long nextRefreshMs;
    private long nextBatchMs;

    private StreamPersistence(InstanceId self, FleetState fleet, StreamDirectory directory, ServedVersions versions) {
        this.self = self;
        this.fleet = fleet;
        this.directory = directory;
        this.versions = versions;
    }

    static StreamPersistence of(InstanceId self, FleetState fleet, StreamDirectory directory, ServedVersions versions) {
        return new StreamPersistence(self, fleet, directory, versions);
    }

    /** Adds what was persisted. Nothing is written before, since that could overwrite what has not been read yet. */
    void restored(Event.StreamsRestored read, long nowMs) {
        restored = true;
        snapshotState = null;
        PersistedVersions snapshot = read.versions();
        if (snapshot != null) {
            versions.restore(snapshot, nowMs);
        }
        for (Event.PoolStreams streams : read.streams()) {
            streams.beginnings().forEach(beginning -> restored(streams.pool(), beginning, nowMs));
        }
    }

    /** The version of a stream may have come and left without a snapshot that names it. */
    private void restored(PoolId pool, StreamBeginning beginning, long nowMs) {
        directory.restore(pool, beginning, nowMs);
        versions.streamMayLast(beginning.leftMs());
        long leastAgeMs = versions.streamLifetimeMs() - beginning.leftMs();
        versions.served(pool, beginning.softwareVersion(), nowMs - leastAgeMs);
    }

    /** An entry has reported a stream to this instance. */
    void streamBegan(PoolId pool, long streamKey) {
        if (!restored) {
            // The first batch holds all known streams.
            return;
        }
        unwritten.computeIfAbsent(pool, missing -> new LinkedHashSet<>()).add(streamKey);
    }

    void tick(long nowMs, ActionSink sink) {
        if (!restored) {
            return;
        }
        writeSnapshot(nowMs, sink);
        if (nowMs >= nextBatchMs) {
            nextBatchMs = nowMs + BATCH_INTERVAL_MS;
            writeStreams(nowMs, sink);
        }
    }

    private void writeSnapshot(long nowMs, ActionSink sink) {
        SnapshotState current = SnapshotState.of(versions, nowMs);
        if (!isSnapshotWriter() || (current.equals(snapshotState) && nowMs < nextRefreshMs)) {
            return;
        }
        PersistedVersions snapshot = versions.snapshot(nowMs);
        if (snapshot == null) {
            return;
        }
        snapshotState = current;
        nextRefreshMs = nowMs + REFRESH_MS;
        sink.accept(new Action.PersistVersions(snapshot));
    }

    /** Whether this instance is the arbiter of the fleet's first cell, so that usually a single instance writes. */
    private boolean isSnapshotWriter() {
        List<CellId> cells = fleet.cells().cells();
        return !cells.isEmpty() && self.equals(fleet.arbiter(cells.get(0)));
    }

    private void writeStreams(long nowMs, ActionSink sink) {
        Set<PoolId> pools = new TreeSet<>(directory.pools());
        pools.addAll(unwritten.keySet());
        for (PoolId pool : pools) {
            if (versions.onlyVersion(pool, nowMs) != null) {
                written.remove(pool);
                continue;
            }
            Set<Long> reported = unwritten.getOrDefault(pool, Set.of());
            if (!isArbiterOfFirstCell(pool)) {
                written.remove(pool);
                write(pool, directory.beginnings(pool, reported, nowMs), sink);
            } else if (written.add(pool)) {
                write(pool, directory.all(pool, nowMs), sink);
            } else {
                write(pool, directory.beginnings(pool, reported, nowMs), sink);
            }
        }
        unwritten.clear();
    }

    private boolean isArbiterOfFirstCell(PoolId pool) {
        List<CellId> cells = fleet.cells().cells(pool);
        return !cells.isEmpty() && self.equals(fleet.arbiter(cells.get(0)));
    }

    private void write(PoolId pool, List<StreamBeginning> beginnings, ActionSink sink) {
        for (int from = 0; from < beginnings.size(); from += MAX_PER_BATCH) {
            int end = Math.min(beginnings.size(), from + MAX_PER_BATCH);
            sink.accept(new Action.PersistStreams(
                    pool, List.copyOf(beginnings.subList(from, end)), versions.streamLifetimeMs()));
        }
    }

    /**
     * The part of a snapshot whose change is written at once. Versions that only a peer has listed belong to it: the
     * instances read the list of targets at different times.
     */
    private record SnapshotState(
            Map<PoolId, Set<String>> listed, Map<PoolId, Set<String>> recent, boolean known, long streamLifetimeMs) {
        private static SnapshotState of(ServedVersions versions, long nowMs) {
            Map<PoolId, Set<String>> listed = new TreeMap<>();
            versions.listedVersions().forEach((pool, served) -> listed.put(pool, Set.copyOf(served)));
            return new SnapshotState(
                    listed, versions.recentVersions(nowMs), versions.isKnown(nowMs), versions.streamLifetimeMs());
        }
    }
}
