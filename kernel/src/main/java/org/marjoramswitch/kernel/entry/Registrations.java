package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.liveness.ProbeRoundTrips;
import org.marjoramswitch.kernel.liveness.SilentPeerDetector;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Keeps an entry registered with the current arbiter of each cell that it uses.
 *
 * <p>The current arbiter is the first in the cell's rank that is reachable from this instance. Whenever it changes, a
 * new link to it comes up or it reports that it has no registration of this entry, the entry registers its complete
 * state again, so messages under way need not be tracked. An arbiter that is silent while requests wait for its grants
 * is replaced without waiting for the membership, and used again once it replies to a probe in time. If any message
 * were enough, entries would return to an arbiter that is seconds behind each time that it sends a late reply, leave it
 * again after 400 ms and ask anew for all that waits, which keeps it behind for as long as there is load.
 *
 * <p>Example: arbiter b is paused. After 400 ms the entry registers with c, which grants. Then b resumes, processes its
 * queued messages and grants from outdated state. Its reply to the next probe shows that it is on time; the entry sends
 * another probe and registers with b. Grants that arrive before the reply to the probe are based on the outdated state and are
 * declined, later ones are bound.
 */
public final class Registrations {
    /** Time after a new arbiter's registration window for which its first grants may still be under way. */
    private static final long SUCCESSION_MARGIN_MS = 50;

    private final InstanceId self;
    private final KernelOptions options;
    private final FleetState fleet;
    private final DemandPublisher demand;
    private final Function<PoolId, PoolQueues> pools;
    private final Collection<EntryRequest> requests;
    private final SilentPeerDetector silentArbiterDetector = SilentPeerDetector.create();
    private final ProbeRoundTrips probes = ProbeRoundTrips.create();

    /** @param requests the entry's open requests, a live view */
    Registrations(
            InstanceId self,
            KernelOptions options,
            FleetState fleet,
            DemandPublisher demand,
            Function<PoolId, PoolQueues> pools,
            Collection<EntryRequest> requests) {
        this.self = self;
        this.options = options;
        this.fleet = fleet;
        this.demand = demand;
        this.pools = pools;
        this.requests = requests;
    }

    /** Adapts the registrations to changed arbiters, cells or links. */
    public void fleetChanged(long nowMs, ActionSink sink) {
        probes.retainAll(fleet.view().members().keySet());
        for (EntryRequest request : requests) {
            updateCell(request, nowMs);
        }
        for (CellLink link : List.copyOf(demand.links())) {
            updateArbiter(link, nowMs, sink);
        }
    }

    /** Records that a message arrived from a peer. */
    public void messageReceived(InstanceId peer, long nowMs) {
        silentArbiterDetector.messageReceived(peer, nowMs);
    }

    /** Registers over a new link to a peer: messages on the old one are lost, so the complete state is sent. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        for (CellLink link : List.copyOf(demand.links())) {
            if (peer.equals(link.arbiter()) && link.isRegistered()) {
                link.setBarrier(0);
                reregister(link, nowMs, sink);
            }
        }
    }

    /** Handles an arbiter's report that it has no registration of this entry: registers again if the cell is in use. */
    public void registrationLost(InstanceId from, CellId cell, long nowMs, ActionSink sink) {
        CellLink link = demand.linkOrNull(cell);
        if (link == null || !from.equals(link.arbiter()) || !link.isRegistered()) {
            return;
        }
        link.markUnregistered();
        if (inUse(link)) {
            reregister(link, nowMs, sink);
        }
    }

    /**
     * Handles the reply to a probe; a peer that replies in time is reachable.
     *
     * @param delayMs how long the reply waited at this instance
     */
    public void probeAnswered(InstanceId peer, long probe, long delayMs, long nowMs, ActionSink sink) {
        if (fleet.unreachable().contains(peer) && probes.isTimely(peer, probe, nowMs - delayMs)) {
            fleet.reachable(peer, true);
            fleetChanged(nowMs, sink);
        }
        for (CellLink link : demand.links()) {
            if (peer.equals(link.arbiter())) {
                link.probeAnswered(probe);
            }
        }
    }

    /** Sends a probe to a peer and returns the probe's number. */
    public long probe(InstanceId peer, long nowMs, ActionSink sink) {
        long number = probes.sent(peer, nowMs);
        sink.accept(new Action.SendPeer(peer, new PeerMessage.Probe(number)));
        return number;
    }

    /** Probes unreachable peers; a timely reply marks the peer as reachable. */
    public void probeUnreachable(long nowMs, ActionSink sink) {
        fleet.unreachable().forEach(peer -> probe(peer, nowMs, sink));
    }

    /**
     * Replaces silent arbiters, registers changed holdings, and unregisters from cells that have been idle for long.
     */
    void tick(long nowMs, ActionSink sink) {
        replaceSilentArbiters(nowMs, sink);
        for (CellLink link : List.copyOf(demand.links())) {
            maintain(link, nowMs, sink);
        }
    }

    /** Whether the cell's arbiter cannot grant now because it is unreachable, or new and collecting registrations. */
    boolean arbiterSilent(CellLink link, long nowMs) {
        InstanceId arbiter = link.arbiter();
        if (arbiter == null || fleet.unreachable().contains(arbiter)) {
            return true;
        }
        long openAtMs = link.arbiterSinceMs() + options.registrationWindowMs() + SUCCESSION_MARGIN_MS;
        return link.isSuccessor() && nowMs < openAtMs;
    }

    private void replaceSilentArbiters(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = new TreeSet<>();
        for (CellLink link : demand.links()) {
            InstanceId arbiter = link.arbiter();
            if (arbiter != null && !arbiter.equals(self) && link.awaitsGrants()) {
                awaited.add(arbiter);
            }
        }
        awaited.removeAll(fleet.unreachable());
        List<InstanceId> silent =
                silentArbiterDetector.silentPeers(awaited, nowMs, arbiter -> probe(arbiter, nowMs, sink));
        if (silent.isEmpty()) {
            return;
        }
        silent.forEach(arbiter -> fleet.reachable(arbiter, false));
        fleetChanged(nowMs, sink);
    }

    private void updateCell(EntryRequest request, long nowMs) {
        TargetId target = request.target();
        if (target == null) {
            return;
        }
        CellId cell = fleet.cells().cellOf(target);
        if (cell == null || cell.equals(request.cell())) {
            return;
        }
        request.movedTo(cell);
        demand.link(cell, nowMs).markHoldingsChanged();
    }

    private void updateArbiter(CellLink link, long nowMs, ActionSink sink) {
        InstanceId arbiter = fleet.arbiter(link.cell());
        InstanceId former = link.arbiter();
        if (Objects.equals(arbiter, former)) {
            return;
        }
        if (former != null && link.isRegistered()) {
            sink.accept(new Action.SendPeer(former, new PeerMessage.Unregister(link.cell())));
        }
        boolean wasRegistered = link.isRegistered();
        link.changeArbiter(arbiter, nowMs);
        sink.accept(new Action.Decided(Decision.of(
                "arbiter_changed",
                "cell",
                link.cell(),
                "arbiter",
                arbiter == null ? "none" : arbiter,
                "former",
                former == null ? "none" : former)));
        if (arbiter != null && (wasRegistered || inUse(link))) {
            link.setBarrier(arbiter.equals(self) ? 0 : probe(arbiter, nowMs, sink));
            reregister(link, nowMs, sink);
        }
    }

    private void reregister(CellLink link, long nowMs, ActionSink sink) {
        demand.register(link, pools.apply(link.cell().pool()), inFlight(link.cell()), nowMs, sink);
    }

    private void maintain(CellLink link, long nowMs, ActionSink sink) {
        if (link.holdingsChanged() && link.arbiter() != null && !arbiterSilent(link, nowMs)) {
            reregister(link, nowMs, sink);
            return;
        }
        boolean idle = nowMs - link.lastUsedMs() > options.idleRegistrationMs();
        if (link.isRegistered() && idle && !inUse(link)) {
            demand.send(link, new PeerMessage.Unregister(link.cell()), sink);
            link.markUnregistered();
        }
    }

    private boolean inUse(CellLink link) {
        return !pools.apply(link.cell().pool()).backlogged().isEmpty()
                || !inFlight(link.cell()).isEmpty();
    }

    private List<EntryRequest> inFlight(CellId cell) {
        return requests.stream().filter(request -> cell.equals(request.cell())).toList();
    }
}
