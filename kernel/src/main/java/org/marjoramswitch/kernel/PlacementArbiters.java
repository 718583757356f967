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
import org.marjoramswitch.kernel.placement.PlacementArbiter;
import org.marjoramswitch.kernel.placement.PlacementPolicy;
import org.marjoramswitch.kernel.settings.PoolSettings;

/** Holds the placement arbiters of the cells for which entries have sent placement requests to this instance. */
final class PlacementArbiters {
    private final InstanceId self;
    private final FleetState fleet;
    private final PlacementPolicy policy;
    private final StreamLookups lookups;
    private final Map<CellId, PlacementArbiter> byCell = new TreeMap<>();

    private PlacementArbiters(InstanceId self, FleetState fleet, PlacementPolicy policy, StreamLookups lookups) {
        this.self = self;
        this.fleet = fleet;
        this.policy = policy;
        this.lookups = lookups;
    }

    static PlacementArbiters of(InstanceId self, FleetState fleet, PlacementPolicy policy, StreamLookups lookups) {
        return new PlacementArbiters(self, fleet, policy, lookups);
    }

    Collection<CellId> cells() {
        return byCell.keySet();
    }

    /** Whether any request waits for a target or for the version of its stream. */
    boolean isWaiting() {
        return lookups.isWaiting() || byCell.values().stream().anyMatch(PlacementArbiter::isWaiting);
    }

    /** Handles an entry's message; returns its cell, or null if the message is not about placements. */
    @Nullable
    CellId received(Event.PeerReceived received, long nowMs, ActionSink sink) {
        InstanceId from = received.from();
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.Place place) {
            place(from, place, received.delayMs(), nowMs, sink);
            return place.cell();
        }
        if (message instanceof PeerMessage.PlacementsHeld held) {
            arbiter(held.cell(), nowMs).takeOver(from, held, nowMs);
            return held.cell();
        }
        if (message instanceof PeerMessage.PlaceWithdrawn withdrawn) {
            lookups.withdraw(from, withdrawn.placementId());
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

    private void place(InstanceId from, PeerMessage.Place place, long delayMs, long nowMs, ActionSink sink) {
        PlacementArbiter arbiter = arbiter(place.cell(), nowMs);
        if (fleet.cells().targets(place.cell()).isEmpty()) {
            // This instance has started while the key-value store is unreachable, and has not read the list yet.
            arbiter.rejectWithoutTargets(from, place, nowMs);
            return;
        }
        boolean isNew = !place.softwareVersion().isEmpty()
                && lookups.isUnlisted(place.cell().pool(), place.softwareVersion());
        if (!place.hasUnknownVersion() && !isNew) {
            arbiter.place(from, place, delayMs, nowMs);
            return;
        }
        lookups.start(from, place, delayMs, nowMs, sink).ifPresent(result -> finish(result, nowMs));
    }

    /** Handles a peer's reply about a stream; returns the cell of the request that is placed or rejected now, or null. */
    @Nullable
    CellId streamReplied(InstanceId from, PeerMessage.StreamReply reply, long nowMs, ActionSink sink) {
        StreamLookups.Result result = lookups.replied(from, reply, nowMs, sink).orElse(null);
        if (result == null) {
            return null;
        }
        finish(result, nowMs);
        return result.place().cell();
    }

    /** Asks further instances about streams, and rejects the requests whose streams have been looked up for too long. */
    void tick(long nowMs, ActionSink sink) {
        lookups.tick(nowMs, sink).forEach(result -> finish(result, nowMs));
    }

    private void finish(StreamLookups.Result result, long nowMs) {
        PlacementArbiter arbiter = arbiter(result.place().cell(), nowMs);
        String version = result.softwareVersion();
        if (version == null) {
            arbiter.rejectUnknownStream(result.entry(), result.place(), result.arrivedAtMs());
            return;
        }
        if (!result.entry().equals(self) && lookups.isUnlisted(arbiter.cell().pool(), version)) {
            arbiter.rejectWithoutTargets(result.entry(), result.place(), result.arrivedAtMs());
            return;
        }
        arbiter.place(
                result.entry(),
                result.place().withSoftwareVersion(version),
                result.delayMs(),
                result.arrivedAtMs(),
                nowMs);
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
        lookups.removeEntry(entry);
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
