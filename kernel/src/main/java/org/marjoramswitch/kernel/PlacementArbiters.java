package org.marjoramswitch.kernel;

import java.util.Collection;
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
    private final Map<CellId, PlacementArbiter> byCell = new TreeMap<>();

    private PlacementArbiters(InstanceId self, FleetState fleet, PlacementPolicy policy) {
        this.self = self;
        this.fleet = fleet;
        this.policy = policy;
    }

    static PlacementArbiters of(InstanceId self, FleetState fleet, PlacementPolicy policy) {
        return new PlacementArbiters(self, fleet, policy);
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
            arbiter(place.cell(), nowMs).place(from, place, received.delayMs(), nowMs);
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
            arbiter(answering.cell(), nowMs).responseStarted(from, answering.placementId(), nowMs);
            return answering.cell();
        }
        if (message instanceof PeerMessage.PlacementEnded ended) {
            arbiter(ended.cell(), nowMs).attemptEnded(from, ended, nowMs);
            return ended.cell();
        }
        return null;
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
