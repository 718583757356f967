package org.marjoramswitch.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.arbiter.Arbiter;
import org.marjoramswitch.kernel.entry.Entry;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.liveness.SilentPeerDetector;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * All routing decisions of one instance, as an entry for its own callers and as the arbiter of the cells that entries
 * register with it: a pure function of the events so far and their times. Not thread-safe; one duty drives it.
 *
 * <p>Messages of the instance to itself do not leave it: they are handled within the same call, in order.
 */
public final class InstanceKernel {
    /** Between two ticks while a request waits here for a target; what it waits for is counted in milliseconds. */
    public static final long BUSY_TICK_MS = 10;
    /**
     * Between two ticks while none does: deadlines and silent peers, which are counted in hundreds of milliseconds. Each tick
     * wakes the process; in a fleet of many instances with little to do each, that is most of what its decisions cost.
     */
    private static final long QUIET_TICK_MS = 50;
    /** How often an unreachable peer that should be an arbiter is tried again. */
    private static final long REACH_AGAIN_MS = 500;

    private final Member self;
    private final KernelOptions options;
    private final FleetState plan;
    private final Entry entry;
    private final Map<CellId, Arbiter> arbiters = new TreeMap<>();
    private final Map<CellId, Long> assignedSinceMs = new TreeMap<>();
    private final Set<CellId> touched = new TreeSet<>();
    private final PlacementArbiters placements;
    private final Deque<PeerMessage> toSelf = new ArrayDeque<>();
    private final SilentPeerDetector entryWatch = SilentPeerDetector.create();
    private boolean draining;
    private boolean drained;
    private long nextReachMs;

    private InstanceKernel(Member self, KernelOptions options) {
        this.self = self;
        this.options = options;
        this.plan = FleetState.of(FleetView.of(List.of(self)));
        this.entry = Entry.create(self.id(), options, plan);
        this.placements = PlacementArbiters.of(plan, options.placement());
    }

    public static InstanceKernel create(Member self) {
        return create(self, KernelOptions.defaults());
    }

    /** A kernel with other constants than the defaults. */
    public static InstanceKernel create(Member self, KernelOptions options) {
        return new InstanceKernel(self, options);
    }

    public Member self() {
        return self;
    }

    public FleetSettings settings() {
        return plan.settings();
    }

    public FleetView view() {
        return plan.view();
    }

    /** Requests of this instance's callers that have not ended. */
    public int openRequests() {
        return entry.open();
    }

    /** Requests of this instance's callers that wait for a grant. */
    public int waitingRequests() {
        return entry.waiting();
    }

    /** The cells this instance grants now. */
    public List<CellId> arbitratedCells() {
        return List.copyOf(arbiters.keySet());
    }

    /** The targets whose load reports this instance needs. */
    public List<TargetSettings> arbitratedTargets() {
        return arbiters.keySet().stream()
                .flatMap(cell -> plan.cells().targets(cell).stream())
                .toList();
    }

    /** The arbiter that this instance turns to for a cell, null where there is none. */
    public @Nullable InstanceId arbiterOf(CellId cell) {
        return plan.arbiter(cell);
    }

    /** The pool's cells under the settings in force. */
    public List<CellId> cells() {
        return plan.cells().cells();
    }

    /** How long the kernel may go without an event. */
    public long tickMs() {
        boolean waiting = entry.waiting() > 0 || !arbiters.isEmpty() || placements.isWaiting();
        return waiting ? BUSY_TICK_MS : QUIET_TICK_MS;
    }

    /** Tells the kernel one event; {@code nowMs} never goes back. The actions are to be carried out in order. */
    public List<Action> apply(Event event, long nowMs) {
        List<Action> actions = new ArrayList<>();
        ActionSink sink = action -> emit(action, actions);
        handle(event, nowMs, sink);
        settle(nowMs, sink);
        if (draining && !drained && entry.open() == 0) {
            drained = true;
            actions.add(new Action.Drained());
        }
        return actions;
    }

    private void emit(Action action, List<Action> actions) {
        if (action instanceof Action.SendPeer send && send.to().equals(self.id())) {
            toSelf.add(send.message());
            return;
        }
        actions.add(action);
    }

    private void settle(long nowMs, ActionSink sink) {
        while (true) {
            PeerMessage message = toSelf.poll();
            if (message != null) {
                received(self.id(), self.incarnation(), message, nowMs, sink);
                continue;
            }
            if (touched.isEmpty()) {
                return;
            }
            List<CellId> cells = List.copyOf(touched);
            touched.clear();
            cells.forEach(cell -> grantFree(cell, nowMs, sink));
            cells.forEach(cell -> placements.decide(cell, nowMs, sink));
        }
    }

    private void grantFree(CellId cell, long nowMs, ActionSink sink) {
        Arbiter arbiter = arbiters.get(cell);
        if (arbiter != null) {
            arbiter.grantFreeSlots(nowMs, sink);
        }
    }

    private void handle(Event event, long nowMs, ActionSink sink) {
        if (event instanceof Event.RequestArrived arrived) {
            entry.arrived(arrived.request(), nowMs, sink);
        } else if (event instanceof Event.CallerGone gone) {
            entry.callerGone(gone.requestId(), sink);
        } else if (event instanceof Event.TargetProgress progress) {
            entry.delivered(progress.requestId(), progress.outputTokens(), sink);
        } else if (event instanceof Event.TargetAnswering answering) {
            entry.responseStarted(answering.requestId(), sink);
        } else if (event instanceof Event.TargetEnded ended) {
            entry.attemptEnded(ended.requestId(), ended.outcome(), ended.usage(), nowMs, sink);
        } else if (event instanceof Event.PeerReceived received) {
            received(received.from(), received.fromIncarnation(), received.message(), nowMs, sink);
        } else if (event instanceof Event.PeerLinkChanged changed) {
            linkChanged(changed, nowMs, sink);
        } else if (event instanceof Event.ViewChanged changed) {
            viewChanged(changed.view(), nowMs, sink);
        } else if (event instanceof Event.SettingsAccepted accepted) {
            settingsAccepted(accepted.settings(), nowMs, sink);
        } else if (event instanceof Event.TargetsLeaving leaving) {
            targetsLeaving(leaving.leaving(), sink);
        } else if (event instanceof Event.TargetSaidLeaving said) {
            targetSaidLeaving(said, sink);
        } else if (event instanceof Event.TargetAskedForRest asked) {
            entry.backoffRequested(asked.target(), asked.restMs(), nowMs, sink);
        } else if (event instanceof Event.CrashesListed listed) {
            entry.crashesReported(new PeerMessage.CrashNews(listed.crashes(), List.of()), nowMs, sink);
        } else if (event instanceof Event.TargetReported reported) {
            targetReported(reported, nowMs);
        } else if (event instanceof Event.PrefixCached cached) {
            entry.prefixCached(cached.target(), cached.prefixHash(), cached.present());
        } else if (event instanceof Event.DrainStarted) {
            draining = true;
            entry.drain();
        } else if (event instanceof Event.Tick) {
            tick(nowMs, sink);
        }
    }

    private void received(InstanceId from, long incarnation, PeerMessage message, long nowMs, ActionSink sink) {
        if (!from.equals(self.id())) {
            heard(from, message, nowMs, sink);
        }
        if (message instanceof PeerMessage.Probe probe) {
            sink.accept(new Action.SendPeer(from, new PeerMessage.ProbeReply(probe.number())));
            return;
        }
        if (message instanceof PeerMessage.CrashNews news) {
            entry.crashesReported(news, nowMs, sink);
            return;
        }
        if (message instanceof PeerMessage.ProbeReply reply) {
            entry.registrations().probeAnswered(from, reply.number());
            return;
        }
        if (message instanceof PeerMessage.Grant grant) {
            entry.granted(from, grant, nowMs, sink);
            return;
        }
        if (receivedPlacement(from, message, nowMs, sink)) {
            return;
        }
        if (message instanceof PeerMessage.Register register) {
            arbiterFor(register.cell(), nowMs).register(from, incarnation, register, nowMs);
            touched.add(register.cell());
        } else if (message instanceof PeerMessage.Unregister unregister) {
            withArbiter(unregister.cell(), arbiter -> arbiter.unregister(from));
            entry.registrations().registrationLost(from, unregister.cell(), nowMs, sink);
        } else if (message instanceof PeerMessage.Demand demand) {
            demanded(from, demand, sink);
        } else if (message instanceof PeerMessage.Decline decline) {
            withArbiter(decline.cell(), arbiter -> arbiter.declined(from, decline.sequence(), decline.reason()));
        } else if (message instanceof PeerMessage.Progress progress) {
            withArbiter(progress.cell(), arbiter -> arbiter.progress(from, progress.sequence(), progress.costTokens()));
        } else if (message instanceof PeerMessage.Ended ended) {
            withArbiter(
                    ended.cell(),
                    arbiter -> arbiter.ended(from, ended.sequence(), ended.costTokens(), ended.targetFault(), nowMs));
        } else if (message instanceof PeerMessage.Charges charges) {
            chargesReceived(charges);
        } else if (message instanceof PeerMessage.TargetLeaving leaving) {
            peerSaysLeaving(leaving, sink);
        }
    }

    private void peerSaysLeaving(PeerMessage.TargetLeaving leaving, ActionSink sink) {
        if (leaving.startedAtMs() != PeerMessage.TargetLeaving.LISTED) {
            noteSaidLeaving(leaving.target(), leaving.startedAtMs(), sink);
            return;
        }
        Set<TargetId> all = new TreeSet<>(plan.listedLeaving());
        all.add(leaving.target());
        targetsLeaving(all, sink);
    }

    /** Takes a message about placements; false for any other. */
    private boolean receivedPlacement(InstanceId from, PeerMessage message, long nowMs, ActionSink sink) {
        if (message instanceof PeerMessage.Placed placed) {
            entry.placed(from, placed, nowMs, sink);
            return true;
        }
        if (message instanceof PeerMessage.NotPlaced refused) {
            entry.notPlaced(from, refused, nowMs, sink);
            return true;
        }
        CellId cell = placements.received(from, message, nowMs);
        if (cell != null) {
            touched.add(cell);
        }
        return cell != null;
    }

    private void heard(InstanceId from, PeerMessage message, long nowMs, ActionSink sink) {
        entry.messageReceived(from, nowMs, sink);
        entryWatch.messageReceived(from, nowMs);
        for (Arbiter arbiter : arbiters.values()) {
            arbiter.messageReceived(from);
            boolean back = arbiter.isRegistered(from)
                    && !arbiter.isConnected(from)
                    && !(message instanceof PeerMessage.Register);
            if (back) {
                sink.accept(new Action.SendPeer(from, new PeerMessage.Unregister(arbiter.cell())));
                arbiter.reconnected(from);
            }
        }
    }

    /**
     * A paused or cut-off entry starts nothing that it is granted: its offers would draw slots that stay empty, and
     * charge its customers for them.
     */
    private void watchEntries(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = new TreeSet<>();
        arbiters.values().forEach(arbiter -> awaited.addAll(arbiter.entriesToProbe()));
        awaited.remove(self.id());
        for (InstanceId silent : entryWatch.silentPeers(
                awaited, nowMs, peer -> entry.registrations().probe(peer, sink))) {
            arbiters.values().forEach(arbiter -> arbiter.disconnected(silent));
            touched.addAll(arbiters.keySet());
        }
    }

    private void demanded(InstanceId from, PeerMessage.Demand demand, ActionSink sink) {
        Arbiter arbiter = arbiters.get(demand.cell());
        if (arbiter == null || !arbiter.isConnected(from)) {
            // The entry was taken for dead here, or this instance restarted: it would wait for grants for good.
            sink.accept(new Action.SendPeer(from, new PeerMessage.Unregister(demand.cell())));
            return;
        }
        arbiter.demand(from, demand);
        touched.add(demand.cell());
    }

    private void withArbiter(CellId cell, java.util.function.Consumer<Arbiter> change) {
        Arbiter arbiter = arbiters.get(cell);
        if (arbiter != null) {
            change.accept(arbiter);
            touched.add(cell);
        }
    }

    private void chargesReceived(PeerMessage.Charges charges) {
        for (Arbiter arbiter : arbiters.values()) {
            boolean samePool = arbiter.cell().pool().equals(charges.cell().pool());
            if (samePool && !arbiter.cell().equals(charges.cell())) {
                arbiter.charges(charges);
            }
        }
    }

    /**
     * The arbiter of a cell that an entry registers with. A duty that just came from another instance begins with a
     * registration window; so does one that this instance's own view does not name it for yet.
     */
    private Arbiter arbiterFor(CellId cell, long nowMs) {
        Arbiter known = arbiters.get(cell);
        if (known != null) {
            return known;
        }
        PoolSettings pool = plan.settings().pools().getOrDefault(cell.pool(), PoolSettings.modelEngines(cell.pool()));
        long sinceMs = assignedSinceMs.getOrDefault(cell, nowMs);
        long openAtMs = sinceMs + options.registrationWindowMs();
        Arbiter arbiter = Arbiter.create(cell, pool, plan::weight, options, openAtMs);
        arbiter.targets(plan.cells().targets(cell), plan.leavingTargets());
        arbiters.put(cell, arbiter);
        return arbiter;
    }

    private void linkChanged(Event.PeerLinkChanged changed, long nowMs, ActionSink sink) {
        plan.reachable(changed.peer(), changed.up());
        if (changed.up()) {
            entry.connected(changed.peer(), nowMs, sink);
        } else {
            arbiters.values().forEach(arbiter -> arbiter.disconnected(changed.peer()));
        }
        // On a new link the peer tells its state anew; what an older link brought must not be added to it.
        forgetPlacements(changed.peer(), nowMs);
        entry.fleetChanged(nowMs, sink);
    }

    private void viewChanged(FleetView view, long nowMs, ActionSink sink) {
        FleetView former = plan.view();
        plan.view(view);
        for (Member member : former.members().values()) {
            Member now = view.member(member.id());
            boolean gone = now == null || now.incarnation() != member.incarnation();
            if (gone && !member.id().equals(self.id())) {
                arbiters.values().forEach(arbiter -> dropEntry(arbiter, member.id(), sink));
                forgetPlacements(member.id(), nowMs);
            }
        }
        noteAssignments(nowMs);
        entry.fleetChanged(nowMs, sink);
    }

    private void forgetPlacements(InstanceId gone, long nowMs) {
        placements.forget(gone, nowMs);
        touched.addAll(placements.cells());
    }

    /**
     * The entry left the view. Should it live after all, nothing else would tell it that its offers are forgotten, so
     * it is told; a dead one does not hear it.
     */
    private void dropEntry(Arbiter arbiter, InstanceId gone, ActionSink sink) {
        if (arbiter.isRegistered(gone)) {
            arbiter.unregister(gone);
            sink.accept(new Action.SendPeer(gone, new PeerMessage.Unregister(arbiter.cell())));
            touched.add(arbiter.cell());
        }
    }

    private void settingsAccepted(FleetSettings settings, long nowMs, ActionSink sink) {
        plan.settings(settings);
        noteAssignments(nowMs);
        refreshTargets();
        entry.fleetChanged(nowMs, sink);
    }

    private void targetsLeaving(Set<TargetId> leaving, ActionSink sink) {
        Set<TargetId> news = new TreeSet<>(leaving);
        news.removeAll(plan.leavingTargets());
        plan.leavingTargets(leaving);
        refreshTargets();
        news.forEach(target -> passOnLeaving(target, PeerMessage.TargetLeaving.LISTED, sink));
    }

    /**
     * Where the list cannot tell that a target leaves, as the service behind it is away, the target's own answers still do. A
     * caller that was sent to it until the list comes back would see its answer cut when the target ends.
     */
    private void targetSaidLeaving(Event.TargetSaidLeaving said, ActionSink sink) {
        if (noteSaidLeaving(said.target(), said.startedAtMs(), sink)) {
            passOnLeaving(said.target(), said.startedAtMs(), sink);
        }
    }

    private boolean noteSaidLeaving(TargetId target, long startedAtMs, ActionSink sink) {
        if (!plan.markDraining(target, startedAtMs)) {
            return false;
        }
        sink.accept(new Action.Decided(Decision.of("target_said_leaving", "target", target)));
        refreshTargets();
        return true;
    }

    /** News reach instances at different times; the arbiter is told by whoever knows first. */
    private void passOnLeaving(TargetId target, long startedAtMs, ActionSink sink) {
        CellId cell = plan.cells().cellOf(target);
        InstanceId arbiter = cell == null ? null : plan.arbiter(cell);
        if (cell != null && arbiter != null && !arbiter.equals(self.id())) {
            sink.accept(new Action.SendPeer(arbiter, new PeerMessage.TargetLeaving(cell.pool(), target, startedAtMs)));
        }
    }

    private void refreshTargets() {
        for (Arbiter arbiter : arbiters.values()) {
            arbiter.targets(plan.cells().targets(arbiter.cell()), plan.leavingTargets());
            touched.add(arbiter.cell());
        }
        placements.refreshTargets();
        touched.addAll(placements.cells());
    }

    private void targetReported(Event.TargetReported reported, long nowMs) {
        CellId cell = plan.cells().cellOf(reported.target());
        if (cell != null) {
            withArbiter(cell, arbiter -> arbiter.reported(reported.target(), reported.report(), nowMs));
        }
    }

    private void noteAssignments(long nowMs) {
        Set<CellId> mine = new TreeSet<>();
        for (CellId cell : plan.cells().cells()) {
            if (self.id().equals(plan.assignedArbiter(cell))) {
                mine.add(cell);
                assignedSinceMs.putIfAbsent(cell, nowMs);
            }
        }
        assignedSinceMs.keySet().retainAll(mine);
    }

    private void tick(long nowMs, ActionSink sink) {
        entry.tick(nowMs, sink);
        watchEntries(nowMs, sink);
        arbiters.values().removeIf(arbiter -> !arbiter.hasEntries());
        touched.addAll(arbiters.keySet());
        touched.addAll(placements.cells());
        arbiters.values().forEach(arbiter -> tellCharges(arbiter, nowMs, sink));
        if (nowMs >= nextReachMs) {
            nextReachMs = nowMs + REACH_AGAIN_MS;
            entry.registrations().probeUnreachable(sink);
        }
    }

    private void tellCharges(Arbiter arbiter, long nowMs, ActionSink sink) {
        List<CellId> cells = plan.cells().cells(arbiter.cell().pool());
        PeerMessage.Charges charges = cells.size() < 2 ? null : arbiter.chargesToSend(nowMs);
        if (charges == null) {
            return;
        }
        Set<InstanceId> others = new TreeSet<>();
        for (CellId cell : cells) {
            InstanceId other = plan.arbiter(cell);
            if (other != null && !cell.equals(arbiter.cell())) {
                others.add(other);
            }
        }
        others.forEach(other -> sink.accept(new Action.SendPeer(other, charges)));
    }
}
