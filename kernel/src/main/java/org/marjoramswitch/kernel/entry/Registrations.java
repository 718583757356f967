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
import org.marjoramswitch.kernel.liveness.SilentPeerDetector;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Keeps an entry registered with the right arbiter of each cell that it uses.
 *
 * <p>The right one is the first in the cell's rank that can be reached from here. Whenever that changes, whenever a link
 * to it is new and whenever it says that it knows nothing of this entry, the entry registers its whole state anew; so
 * nothing has to be remembered of what was under way. An arbiter that is silent while requests wait for its grants is
 * left without waiting for the membership, and taken back when it is heard again.
 *
 * <p>Example: arbiter b is paused. After 400 ms the entry registers with c, which grants. Then b resumes, works through
 * what had queued up for it and grants from its old books. Its first message shows that it is back; the entry sends a
 * probe and registers with b. Grants that come before the probe's answer are from the old books and are declined, the
 * later ones are bound.
 */
public final class Registrations {
    /** How long after its registration window a succeeding arbiter's first grants may still be under way. */
    private static final long SUCCESSION_MARGIN_MS = 50;

    private final InstanceId self;
    private final KernelOptions options;
    private final FleetState plan;
    private final DemandPublisher offers;
    private final Function<PoolId, PoolQueues> pools;
    private final Collection<EntryRequest> requests;
    private final SilentPeerDetector watch = SilentPeerDetector.create();
    private long lastProbe;

    /** @param requests the entry's open requests, a live view */
    Registrations(
            InstanceId self,
            KernelOptions options,
            FleetState plan,
            DemandPublisher offers,
            Function<PoolId, PoolQueues> pools,
            Collection<EntryRequest> requests) {
        this.self = self;
        this.options = options;
        this.plan = plan;
        this.offers = offers;
        this.pools = pools;
        this.requests = requests;
    }

    /** Arbiters, cells or links may have changed: follows them. */
    public void fleetChanged(long nowMs, ActionSink sink) {
        for (EntryRequest request : requests) {
            followTarget(request, nowMs);
        }
        for (CellLink link : List.copyOf(offers.links())) {
            followArbiter(link, nowMs, sink);
        }
    }

    /** Something came from a peer: it is there, whatever was thought of it. */
    public void messageReceived(InstanceId peer, long nowMs, ActionSink sink) {
        watch.messageReceived(peer, nowMs);
        if (plan.unreachable().contains(peer)) {
            plan.reachable(peer, true);
            fleetChanged(nowMs, sink);
        }
    }

    /** A new link to a peer came up: whatever was on the old one is lost, so it gets the whole state. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        for (CellLink link : List.copyOf(offers.links())) {
            if (peer.equals(link.arbiter()) && link.registered()) {
                link.barrier(0);
                registerAnew(link, nowMs, sink);
            }
        }
    }

    /** The cell's arbiter says that it holds no registration of this entry. */
    public void registrationLost(InstanceId from, CellId cell, long nowMs, ActionSink sink) {
        CellLink link = offers.linkOrNull(cell);
        if (link == null || !from.equals(link.arbiter()) || !link.registered()) {
            return;
        }
        link.unregistered();
        if (inUse(link)) {
            registerAnew(link, nowMs, sink);
        }
    }

    /** A peer answered a probe. */
    public void probeAnswered(InstanceId peer, long probe) {
        for (CellLink link : offers.links()) {
            if (peer.equals(link.arbiter())) {
                link.answered(probe);
            }
        }
    }

    /** Probes a peer and returns the probe's number. */
    public long probe(InstanceId peer, ActionSink sink) {
        lastProbe++;
        sink.accept(new Action.SendPeer(peer, new PeerMessage.Probe(lastProbe)));
        return lastProbe;
    }

    /** Tries peers again that could not be reached; one that answers is heard. */
    public void probeUnreachable(ActionSink sink) {
        plan.unreachable().forEach(peer -> probe(peer, sink));
    }

    /** Leaves silent arbiters, registers what changed, and unregisters where nothing was asked for long. */
    void tick(long nowMs, ActionSink sink) {
        watchArbiters(nowMs, sink);
        for (CellLink link : List.copyOf(offers.links())) {
            maintain(link, nowMs, sink);
        }
    }

    /** Whether the cell's arbiter cannot grant now: unreachable, or new and collecting registrations. */
    boolean arbiterSilent(CellLink link, long nowMs) {
        InstanceId arbiter = link.arbiter();
        if (arbiter == null || plan.unreachable().contains(arbiter)) {
            return true;
        }
        long openAtMs = link.arbiterSinceMs() + options.registrationWindowMs() + SUCCESSION_MARGIN_MS;
        return link.succeeding() && nowMs < openAtMs;
    }

    private void watchArbiters(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = new TreeSet<>();
        for (CellLink link : offers.links()) {
            InstanceId arbiter = link.arbiter();
            if (arbiter != null && !arbiter.equals(self) && link.awaitsGrants()) {
                awaited.add(arbiter);
            }
        }
        awaited.removeAll(plan.unreachable());
        List<InstanceId> silent = watch.silentPeers(awaited, nowMs, arbiter -> probe(arbiter, sink));
        if (silent.isEmpty()) {
            return;
        }
        silent.forEach(arbiter -> plan.reachable(arbiter, false));
        fleetChanged(nowMs, sink);
    }

    private void followTarget(EntryRequest request, long nowMs) {
        TargetId target = request.target();
        if (target == null) {
            return;
        }
        CellId cell = plan.cells().cellOf(target);
        if (cell == null || cell.equals(request.cell())) {
            return;
        }
        request.movedTo(cell);
        offers.link(cell, nowMs).markHoldingsChanged();
    }

    private void followArbiter(CellLink link, long nowMs, ActionSink sink) {
        InstanceId arbiter = plan.arbiter(link.cell());
        InstanceId former = link.arbiter();
        if (Objects.equals(arbiter, former)) {
            return;
        }
        if (former != null && link.registered()) {
            sink.accept(new Action.SendPeer(former, new PeerMessage.Unregister(link.cell())));
        }
        boolean wasRegistered = link.registered();
        link.follow(arbiter, nowMs);
        sink.accept(new Action.Decided(Decision.of(
                "arbiter_changed",
                "cell",
                link.cell(),
                "arbiter",
                arbiter == null ? "none" : arbiter,
                "former",
                former == null ? "none" : former)));
        if (arbiter != null && (wasRegistered || inUse(link))) {
            link.barrier(arbiter.equals(self) ? 0 : probe(arbiter, sink));
            registerAnew(link, nowMs, sink);
        }
    }

    private void registerAnew(CellLink link, long nowMs, ActionSink sink) {
        offers.register(link, pools.apply(link.cell().pool()), inFlight(link.cell()), nowMs, sink);
    }

    private void maintain(CellLink link, long nowMs, ActionSink sink) {
        if (link.holdingsChanged() && link.arbiter() != null && !arbiterSilent(link, nowMs)) {
            registerAnew(link, nowMs, sink);
            return;
        }
        boolean idle = nowMs - link.lastUsedMs() > options.idleRegistrationMs();
        if (link.registered() && idle && !inUse(link)) {
            offers.send(link, new PeerMessage.Unregister(link.cell()), sink);
            link.unregistered();
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
