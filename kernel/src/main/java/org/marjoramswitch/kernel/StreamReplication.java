package org.marjoramswitch.kernel;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.stream.ServedVersions;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Replicates the beginnings of streams, so that the version of a stream is known after both its entry and the arbiter
 * of its pool have crashed.
 *
 * <p>Entries report a stream to the arbiter that placed it. The arbiter forwards new records in batches to the instances
 * that would replace it, and to the arbiters of the pool's other cells. An instance that becomes the arbiter of a cell,
 * or connects again, gets all records of the pool from two of them. In a small fleet every instance holds every record,
 * so that most resumed streams need no other instance.
 *
 * <p>Cost: one message to each holder per interval and pool, whatever the number of streams; a record has about 20
 * bytes.
 */
final class StreamReplication {
    /** A stream is at risk for this long after it began, if its entry and the arbiter crash together. */
    private static final long INTERVAL_MS = 100;
    /** Instances that hold a pool's records besides its arbiter. */
    private static final int MAX_HOLDERS = 8;
    /** Holders that send their records to a new arbiter. */
    private static final int HANDOVER_SENDERS = 2;

    private static final int MAX_PER_MESSAGE = 512;
    /** The arbiter of a cell and the one that replaces it. */
    private static final int SUBSTITUTES_PER_CELL = 2;

    private final InstanceId self;
    private final FleetState fleet;
    private final StreamDirectory directory;
    private final ServedVersions versions;
    private final ReportListener reports;
    /** Streams reported by entries that have not been forwarded yet. */
    private final Map<PoolId, Set<Long>> unsent = new TreeMap<>();
    /** For each cell, the arbiter that has been sent the pool's records. */
    private final Map<CellId, InstanceId> informedArbiters = new TreeMap<>();

    private long nextMs;

    private StreamReplication(
            InstanceId self,
            FleetState fleet,
            StreamDirectory directory,
            ServedVersions versions,
            ReportListener reports) {
        this.self = self;
        this.fleet = fleet;
        this.directory = directory;
        this.versions = versions;
        this.reports = reports;
    }

    /** @param reports notified of each stream that an entry reports to this instance */
    static StreamReplication of(
            InstanceId self,
            FleetState fleet,
            StreamDirectory directory,
            ServedVersions versions,
            ReportListener reports) {
        return new StreamReplication(self, fleet, directory, versions, reports);
    }

    /** Receives the streams that entries report. */
    @FunctionalInterface
    interface ReportListener {
        void streamBegan(PoolId pool, long streamKey);
    }

    /** Handles a peer's records; returns false for any other message. */
    boolean received(PeerMessage message, long nowMs) {
        if (message instanceof PeerMessage.StreamsBegan began) {
            began.beginnings().forEach(beginning -> record(began, beginning, nowMs));
            return true;
        }
        if (message instanceof PeerMessage.VersionHistory history) {
            versions.add(history, nowMs);
            return true;
        }
        return false;
    }

    private void record(PeerMessage.StreamsBegan message, StreamBeginning beginning, long nowMs) {
        directory.record(message.pool(), beginning, nowMs);
        versions.served(message.pool(), beginning.softwareVersion(), nowMs);
        versions.streamMayLast(beginning.leftMs());
        if (!message.replicated()) {
            unsent.computeIfAbsent(message.pool(), missing -> new LinkedHashSet<>())
                    .add(beginning.streamKey());
            reports.streamBegan(message.pool(), beginning.streamKey());
        }
    }

    /** A link to the peer is up; the peer may have restarted without its records. */
    void connected(InstanceId peer, long nowMs, ActionSink sink) {
        informedArbiters.values().removeIf(peer::equals);
        PeerMessage.VersionHistory history = versions.history(nowMs);
        if (history != null) {
            sink.accept(new Action.SendPeer(peer, history));
        }
        handOver(nowMs, sink);
    }

    /** Forwards new records, and all records to new arbiters. */
    void tick(long nowMs, ActionSink sink) {
        if (nowMs < nextMs) {
            return;
        }
        nextMs = nowMs + INTERVAL_MS;
        unsent.forEach((pool, keys) -> {
            List<StreamBeginning> beginnings = directory.beginnings(pool, keys, nowMs);
            holders(pool).forEach(holder -> send(holder, pool, beginnings, sink));
        });
        unsent.clear();
        handOver(nowMs, sink);
    }

    private void handOver(long nowMs, ActionSink sink) {
        for (PoolId pool : directory.pools()) {
            for (CellId cell : fleet.cells().cells(pool)) {
                InstanceId arbiter = fleet.arbiter(cell);
                if (arbiter == null || arbiter.equals(informedArbiters.put(cell, arbiter))) {
                    continue;
                }
                if (!arbiter.equals(self) && isHandoverSender(cell, arbiter)) {
                    send(arbiter, pool, directory.all(pool, nowMs), sink);
                }
            }
        }
    }

    private boolean isHandoverSender(CellId cell, InstanceId arbiter) {
        return fleet.reachableRank(cell).stream()
                .filter(instance -> !instance.equals(arbiter))
                .limit(HANDOVER_SENDERS)
                .anyMatch(self::equals);
    }

    /** The holders, and the instances that place requests of the pool's cells while the arbiters are unreachable. */
    Set<InstanceId> holdersAndSubstitutes(PoolId pool) {
        Set<InstanceId> all = holders(pool);
        for (CellId cell : fleet.cells().cells(pool)) {
            fleet.reachableRank(cell).stream()
                    .filter(instance -> !instance.equals(self))
                    .limit(SUBSTITUTES_PER_CELL)
                    .forEach(all::add);
        }
        return all;
    }

    /** The instances that replace the pool's arbiters if these crash, and the arbiters of the pool's other cells. */
    private Set<InstanceId> holders(PoolId pool) {
        Set<InstanceId> holders = new TreeSet<>();
        for (CellId cell : fleet.cells().cells(pool)) {
            InstanceId arbiter = fleet.arbiter(cell);
            if (arbiter != null) {
                holders.add(arbiter);
            }
            if (cell.index() == 0) {
                fleet.reachableRank(cell).stream()
                        .filter(instance -> !instance.equals(self))
                        .limit(MAX_HOLDERS)
                        .forEach(holders::add);
            }
        }
        holders.remove(self);
        return holders;
    }

    private static void send(InstanceId to, PoolId pool, List<StreamBeginning> beginnings, ActionSink sink) {
        for (int from = 0; from < beginnings.size(); from += MAX_PER_MESSAGE) {
            int end = Math.min(beginnings.size(), from + MAX_PER_MESSAGE);
            sink.accept(
                    new Action.SendPeer(to, new PeerMessage.StreamsBegan(pool, beginnings.subList(from, end), true)));
        }
    }
}
