package org.marjoramswitch.kernel;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.placement.PlacementArbiter;
import org.marjoramswitch.kernel.placement.PlacementPolicy;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.stream.ServedVersions;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/** Holds the placement arbiters of the cells for which entries have sent placement requests to this instance. */
final class PlacementArbiters {
    private final InstanceId self;
    private final FleetState fleet;
    private final PlacementPolicy policy;
    private final StreamDirectory streams;
    private final ServedVersions servedVersions;
    private final Map<CellId, PlacementArbiter> byCell = new TreeMap<>();

    private PlacementArbiters(
            InstanceId self,
            FleetState fleet,
            PlacementPolicy policy,
            StreamDirectory streams,
            ServedVersions servedVersions) {
        this.self = self;
        this.fleet = fleet;
        this.policy = policy;
        this.streams = streams;
        this.servedVersions = servedVersions;
    }

    static PlacementArbiters of(
            InstanceId self,
            FleetState fleet,
            PlacementPolicy policy,
            StreamDirectory streams,
            ServedVersions servedVersions) {
        return new PlacementArbiters(self, fleet, policy, streams, servedVersions);
    }

    Collection<CellId> cells() {
        return byCell.keySet();
    }

    /** Whether any request waits for a target. */
    boolean isWaiting() {
        return byCell.values().stream().anyMatch(PlacementArbiter::isWaiting);
    }

    /** Handles an entry's message; returns its cell, or null if the message is not about placements. */
    @Nullable
    CellId received(Event.PeerReceived received, long nowMs) {
        InstanceId from = received.from();
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.Place place) {
            place(from, place, received.delayMs(), nowMs);
            return place.cell();
        }
        if (message instanceof PeerMessage.PlacementsHeld held) {
            arbiter(held.cell(), nowMs).takeOver(from, held, nowMs);
            return held.cell();
        }
        if (message instanceof PeerMessage.PlaceWithdrawn withdrawn) {
            arbiter(withdrawn.cell(), nowMs).withdraw(from, withdrawn.placementId());
            return withdrawn.cell();
        }
        if (message instanceof PeerMessage.PlacementAnswering answering) {
            arbiter(answering.cell(), nowMs).responseStarted(from, answering.placementId(), received.delayMs(), nowMs);
            return answering.cell();
        }
        if (message instanceof PeerMessage.PlacementEnded ended) {
            arbiter(ended.cell(), nowMs).attemptEnded(from, ended, nowMs);
            return ended.cell();
        }
        return null;
    }

    private void place(InstanceId from, PeerMessage.Place place, long delayMs, long nowMs) {
        PlacementArbiter arbiter = arbiter(place.cell(), nowMs);
        if (fleet.cells().targets(place.cell()).isEmpty()) {
            // This instance has started while the key-value store is unreachable, and has not read the list yet.
            arbiter.rejectWithoutTargets(from, place, nowMs);
            return;
        }
        if (!place.hasUnknownVersion()) {
            arbiter.place(from, place, delayMs, nowMs);
            return;
        }
        String version = streamVersion(place, nowMs);
        if (version == null) {
            arbiter.rejectUnknownStream(from, place, nowMs);
            return;
        }
        arbiter.place(from, place.withSoftwareVersion(version), delayMs, nowMs);
    }

    /**
     * The version at which a resumed stream began; null if it is not certain. A stream that its caller names is recorded
     * unless this instance has missed it; if peers are unreachable, the stream may have begun there, at a version that
     * this instance does not know.
     */
    private @Nullable String streamVersion(PeerMessage.Place place, long nowMs) {
        PoolId pool = place.cell().pool();
        String recorded = streams.versionOf(pool, place.resumedStream(), nowMs);
        boolean named = place.resumedStream() != PeerMessage.Place.UNNAMED_STREAM;
        if (recorded != null || (named && !fleet.unreachable().isEmpty())) {
            return recorded;
        }
        // A stream of this route may last as long as this request, also if none has been seen since the start.
        servedVersions.streamMayLast(place.deadlineLeftMs());
        return servedVersions.onlyVersion(pool, nowMs);
    }

    /** Counts demand that an entry rejected itself, in equal parts at the pool's arbiters of this instance. */
    void demandRejected(List<PeerMessage.CustomerTokens> rejected, long nowMs) {
        for (PeerMessage.CustomerTokens entry : rejected) {
            List<PlacementArbiter> ofPool = byCell.values().stream()
                    .filter(arbiter -> arbiter.cell().pool().equals(entry.pool()))
                    .toList();
            ofPool.forEach(arbiter ->
                    arbiter.demandRejected(entry.customer(), (double) entry.tokens() / ofPool.size(), nowMs));
        }
    }

    void decide(CellId cell, long nowMs, ActionSink sink) {
        PlacementArbiter arbiter = byCell.get(cell);
        if (arbiter != null) {
            arbiter.coldStartShare(fleet.coldStartShare(self, cell, nowMs));
            arbiter.decide(nowMs, sink);
        }
    }

    /** Removes the state of an entry that is gone or that sends its complete state on a new link. */
    void removeEntry(InstanceId entry, long nowMs) {
        byCell.values().forEach(arbiter -> arbiter.removeEntry(entry, nowMs));
    }

    /** Updates all arbiters after targets were added, removed or moved to other cells. */
    void refreshTargets(long nowMs) {
        byCell.values()
                .removeIf(arbiter -> arbiter.isIdle()
                        && fleet.cells().targets(arbiter.cell()).isEmpty());
        byCell.values().forEach(arbiter -> setTargets(arbiter, nowMs));
    }

    private PlacementArbiter arbiter(CellId cell, long nowMs) {
        PlacementArbiter known = byCell.get(cell);
        if (known != null) {
            return known;
        }
        PoolSettings pool = fleet.settings().pools().getOrDefault(cell.pool(), PoolSettings.modelEngines(cell.pool()));
        PlacementArbiter created = PlacementArbiter.create(cell, pool, fleet::weight, policy);
        setTargets(created, nowMs);
        byCell.put(cell, created);
        return created;
    }

    private void setTargets(PlacementArbiter arbiter, long nowMs) {
        arbiter.targets(
                fleet.cells().targets(arbiter.cell()),
                fleet.leavingTargets(),
                fleet.evacuations().dataCentres(),
                nowMs);
    }
}
