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
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.kernel.stream.ServedVersions;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Makes all routing decisions of one instance, as the entry instance of its own callers and as the arbiter of the cells
 * that entries register with it. The decisions are a pure function of the events and their times.
 *
 * <p>Messages of the instance to itself are handled within the same call, in order. Not thread-safe; driven by a single
 * event loop.
 */
public final class InstanceKernel {
    /** Tick interval while a request waits here for a target; such waits last milliseconds. */
    public static final long BUSY_TICK_MS = 10;
    /**
     * Tick interval while no request waits, for deadlines and silent peers, whose timeouts are hundreds of
     * milliseconds. Each tick wakes the process, which is most of the processor cost of decisions in a fleet of mostly
     * idle instances.
     */
    private static final long QUIET_TICK_MS = 50;
    /** Interval of the probes of unreachable peers that should be arbiters. */
    private static final long UNREACHABLE_PROBE_INTERVAL_MS = 500;

    private final Member self;
    private final KernelOptions options;
    private final FleetState fleet;
    private final Entry entry;
    private final Map<CellId, Arbiter> arbiters = new TreeMap<>();
    private final Map<CellId, Long> assignedSinceMs = new TreeMap<>();
    private final Set<CellId> changedCells = new TreeSet<>();
    private final PlacementArbiters placements;
    private final StreamDirectory streams = StreamDirectory.create();
    private final ServedVersions servedVersions = ServedVersions.create();
    private final StreamReplication streamReplication;
    private final StreamPersistence streamPersistence;
    private final StreamLookups streamLookups;
    private final Deque<PeerMessage> selfMessages = new ArrayDeque<>();
    private final SilentPeerDetector silentEntryDetector = SilentPeerDetector.create();
    private boolean draining;
    private boolean drained;
    private long nextUnreachableProbeMs;

    private InstanceKernel(Member self, KernelOptions options) {
        this.self = self;
        this.options = options;
        this.fleet = FleetState.of(FleetView.of(List.of(self)));
        this.entry = Entry.create(self.id(), options, fleet, streams);
        this.streamPersistence = StreamPersistence.of(self.id(), fleet, streams, servedVersions);
        this.streamReplication =
                StreamReplication.of(self.id(), fleet, streams, servedVersions, streamPersistence::streamBegan);
        this.streamLookups =
                StreamLookups.of(self.id(), fleet, streams, servedVersions, streamReplication::holdersAndSubstitutes);
        this.placements = PlacementArbiters.of(self.id(), fleet, options.placement(), streamLookups);
    }

    public static InstanceKernel create(Member self) {
        return create(self, KernelOptions.defaults());
    }

    /** Creates a kernel with options other than the defaults. */
    public static InstanceKernel create(Member self, KernelOptions options) {
        return new InstanceKernel(self, options);
    }

    public Member self() {
        return self;
    }

    public FleetSettings settings() {
        return fleet.settings();
    }

    public FleetView view() {
        return fleet.view();
    }

    /** Returns the number of requests of this instance's callers that have not ended. */
    public int openRequests() {
        return entry.openCount();
    }

    /** Returns the number of requests of this instance's callers that wait for a grant. */
    public int waitingRequests() {
        return entry.waitingCount();
    }

    /** Returns the number of streams whose software version this instance knows. */
    public int recordedStreams() {
        return streams.size();
    }

    /** Returns the cells that this instance currently arbitrates. */
    public List<CellId> arbitratedCells() {
        return List.copyOf(arbiters.keySet());
    }

    /** Returns the targets whose load reports this instance needs. */
    public List<TargetSettings> arbitratedTargets() {
        return arbiters.keySet().stream()
                .flatMap(cell -> fleet.cells().targets(cell).stream())
                .toList();
    }

    /** Returns the arbiter that this instance uses for a cell, null if there is none. */
    public @Nullable InstanceId arbiterOf(CellId cell) {
        return fleet.arbiter(cell);
    }

    /** Returns the cells of all pools under the current settings. */
    public List<CellId> cells() {
        return fleet.cells().cells();
    }

    /** Returns the maximum time until the next event, in milliseconds. */
    public long tickMs() {
        boolean waiting = entry.waitingCount() > 0 || !arbiters.isEmpty() || placements.isWaiting();
        return waiting ? BUSY_TICK_MS : QUIET_TICK_MS;
    }

    /** Applies one event. {@code nowMs} must not decrease, and the actions must be carried out in order. */
    public List<Action> apply(Event event, long nowMs) {
        List<Action> actions = new ArrayList<>();
        ActionSink sink = action -> emit(action, actions);
        handle(event, nowMs, sink);
        processPending(nowMs, sink);
        if (draining && !drained && entry.openCount() == 0) {
            drained = true;
            actions.add(new Action.Drained());
        }
        return actions;
    }

    private void emit(Action action, List<Action> actions) {
        if (action instanceof Action.SendPeer send && send.to().equals(self.id())) {
            selfMessages.add(send.message());
            return;
        }
        actions.add(action);
    }

    private void processPending(long nowMs, ActionSink sink) {
        while (true) {
            PeerMessage message = selfMessages.poll();
            if (message != null) {
                received(new Event.PeerReceived(self.id(), self.incarnation(), message), nowMs, sink);
                continue;
            }
            if (changedCells.isEmpty()) {
                return;
            }
            List<CellId> cells = List.copyOf(changedCells);
            changedCells.clear();
            cells.forEach(cell -> grantFreeSlots(cell, nowMs, sink));
            cells.forEach(cell -> placements.decide(cell, nowMs, sink));
        }
    }

    private void grantFreeSlots(CellId cell, long nowMs, ActionSink sink) {
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
            entry.delivered(progress.requestId(), progress.outputTokens(), nowMs, sink);
        } else if (event instanceof Event.TargetAnswering answering) {
            entry.responseStarted(answering.requestId(), answering.delivered(), nowMs, sink);
        } else if (event instanceof Event.TargetEnded ended) {
            entry.attemptEnded(ended, nowMs, sink);
        } else if (event instanceof Event.TargetSilent silent) {
            entry.targetSilent(silent.requestId(), silent.answerBegun(), nowMs, sink);
        } else if (event instanceof Event.ProgressReported reported) {
            entry.progressReported(reported.requestId(), reported.sinceProgressMs(), nowMs, sink);
        } else if (event instanceof Event.PeerReceived received) {
            received(received, nowMs, sink);
        } else if (event instanceof Event.PeerLinkChanged changed) {
            linkChanged(changed, nowMs, sink);
        } else if (event instanceof Event.ViewChanged changed) {
            viewChanged(changed.view(), nowMs, sink);
        } else if (event instanceof Event.SettingsAccepted accepted) {
            settingsAccepted(accepted.settings(), nowMs, sink);
        } else if (event instanceof Event.TargetsLeaving leaving) {
            targetsLeaving(leaving.leaving(), nowMs, sink);
        } else if (event instanceof Event.DataCentresEvacuated evacuated) {
            evacuationsReceived(evacuated.evacuations(), nowMs, sink);
        } else if (event instanceof Event.TargetReportedDraining said) {
            targetReportedDraining(said, nowMs, sink);
        } else if (event instanceof Event.TargetBackoffRequested requested) {
            entry.backoffRequested(requested.target(), requested.backoffMs(), nowMs, sink);
        } else if (event instanceof Event.DemandRejected rejected) {
            RejectedDemandRouting.send(rejected.rejected(), fleet, sink);
        } else if (event instanceof Event.CrashesListed listed) {
            entry.crashesReported(new PeerMessage.CrashNews(listed.crashes(), List.of()), nowMs, sink);
        } else if (event instanceof Event.StreamsRestored restored) {
            streamPersistence.restored(restored, nowMs);
        } else if (event instanceof Event.TargetReported reported) {
            targetReported(reported, nowMs);
        } else if (event instanceof Event.PrefixCached cached) {
            entry.prefixCached(cached.target(), cached.prefixHash(), cached.present());
        } else if (event instanceof Event.StopStarted stop) {
            entry.stop(stop.drainEndsAtMs());
        } else if (event instanceof Event.DrainStarted) {
            draining = true;
            entry.drain();
        } else if (event instanceof Event.Tick) {
            tick(nowMs, sink);
        }
    }

    private void received(Event.PeerReceived received, long nowMs, ActionSink sink) {
        InstanceId from = received.from();
        PeerMessage message = received.message();
        if (!from.equals(self.id())) {
            peerMessageReceived(from, message, nowMs, sink);
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
            entry.registrations().probeAnswered(from, reply.number(), received.delayMs(), nowMs, sink);
            return;
        }
        if (message instanceof PeerMessage.StreamQuery query) {
            streamLookups.reply(from, query, nowMs, sink);
            return;
        }
        if (message instanceof PeerMessage.StreamReply reply) {
            CellId cell = placements.streamReplied(from, reply, nowMs, sink);
            if (cell != null) {
                changedCells.add(cell);
            }
            return;
        }
        if (message instanceof PeerMessage.Grant grant) {
            entry.granted(from, grant, nowMs, sink);
            return;
        }
        if (message instanceof PeerMessage.DataCentresEvacuated evacuated) {
            evacuationsReceived(evacuated.evacuations(), nowMs, sink);
            correctEvacuations(from, evacuated.evacuations(), sink);
            return;
        }
        if (receivedPlacement(received, nowMs, sink) || streamReplication.received(message, nowMs)) {
            return;
        }
        if (message instanceof PeerMessage.Register register) {
            arbiterFor(register.cell(), nowMs).register(from, received.fromIncarnation(), register, nowMs);
            changedCells.add(register.cell());
        } else if (message instanceof PeerMessage.Unregister unregister) {
            withArbiter(unregister.cell(), arbiter -> arbiter.unregister(from));
            entry.registrations().registrationLost(from, unregister.cell(), nowMs, sink);
        } else if (message instanceof PeerMessage.Demand demand) {
            demandReceived(from, demand, sink);
        } else if (message instanceof PeerMessage.Decline decline) {
            withArbiter(decline.cell(), arbiter -> arbiter.declined(from, decline.sequence(), decline.reason()));
        } else if (message instanceof PeerMessage.Progress progress) {
            withArbiter(progress.cell(), arbiter -> arbiter.progress(from, progress.sequence(), progress.costTokens()));
        } else if (message instanceof PeerMessage.Ended ended) {
            withArbiter(
                    ended.cell(),
                    arbiter -> arbiter.attemptEnded(
                            from, ended.sequence(), ended.costTokens(), ended.targetFault(), nowMs));
        } else if (message instanceof PeerMessage.Charges charges) {
            chargesReceived(charges);
        } else if (message instanceof PeerMessage.TargetLeaving leaving) {
            peerReportedLeaving(leaving, nowMs, sink);
        }
    }

    private void peerReportedLeaving(PeerMessage.TargetLeaving leaving, long nowMs, ActionSink sink) {
        if (leaving.startedAtMs() != PeerMessage.TargetLeaving.LISTED) {
            markDraining(leaving.target(), leaving.startedAtMs(), nowMs, sink);
            return;
        }
        Set<TargetId> all = new TreeSet<>(fleet.listedLeaving());
        all.add(leaving.target());
        targetsLeaving(all, nowMs, sink);
    }

    /** Handles a message about placements; returns false for any other message. */
    private boolean receivedPlacement(Event.PeerReceived received, long nowMs, ActionSink sink) {
        InstanceId from = received.from();
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.Placed placed) {
            entry.placed(from, placed, nowMs, sink);
            return true;
        }
        if (message instanceof PeerMessage.NotPlaced refused) {
            entry.notPlaced(from, refused, nowMs, sink);
            return true;
        }
        if (message instanceof PeerMessage.RejectedDemand demand) {
            placements.demandRejected(demand.rejected(), nowMs);
            return true;
        }
        CellId cell = placements.received(received, nowMs, sink);
        if (cell != null) {
            changedCells.add(cell);
        }
        return cell != null;
    }

    private void peerMessageReceived(InstanceId from, PeerMessage message, long nowMs, ActionSink sink) {
        entry.messageReceived(from, nowMs);
        silentEntryDetector.messageReceived(from, nowMs);
        for (Arbiter arbiter : arbiters.values()) {
            arbiter.messageReceived(from);
            boolean reconnected = arbiter.isRegistered(from)
                    && !arbiter.isConnected(from)
                    && !(message instanceof PeerMessage.Register);
            if (reconnected) {
                sink.accept(new Action.SendPeer(from, new PeerMessage.Unregister(arbiter.cell())));
                arbiter.reconnected(from);
            }
        }
    }

    /**
     * Disconnects silent entries. A paused or unreachable entry starts none of its grants, so granting its offers would
     * leave slots empty and charge its customers for them.
     */
    private void disconnectSilentEntries(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = new TreeSet<>();
        arbiters.values().forEach(arbiter -> awaited.addAll(arbiter.entriesToProbe()));
        awaited.remove(self.id());
        for (InstanceId silent : silentEntryDetector.silentPeers(
                awaited, nowMs, peer -> entry.registrations().probe(peer, nowMs, sink))) {
            arbiters.values().forEach(arbiter -> arbiter.disconnected(silent));
            changedCells.addAll(arbiters.keySet());
        }
    }

    private void demandReceived(InstanceId from, PeerMessage.Demand demand, ActionSink sink) {
        Arbiter arbiter = arbiters.get(demand.cell());
        if (arbiter == null || !arbiter.isConnected(from)) {
            // The entry was disconnected here, or this instance restarted. Unless the entry registers again, it would
            // wait for grants forever.
            sink.accept(new Action.SendPeer(from, new PeerMessage.Unregister(demand.cell())));
            return;
        }
        arbiter.demand(from, demand);
        changedCells.add(demand.cell());
    }

    private void withArbiter(CellId cell, java.util.function.Consumer<Arbiter> change) {
        Arbiter arbiter = arbiters.get(cell);
        if (arbiter != null) {
            change.accept(arbiter);
            changedCells.add(cell);
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
     * Returns the arbiter of a cell, created if necessary. A new arbiter starts with a registration window, which
     * begins when the cell was assigned to this instance, or now if this instance's view does not assign the cell to it
     * yet.
     */
    private Arbiter arbiterFor(CellId cell, long nowMs) {
        Arbiter known = arbiters.get(cell);
        if (known != null) {
            return known;
        }
        PoolSettings pool = fleet.settings().pools().getOrDefault(cell.pool(), PoolSettings.modelEngines(cell.pool()));
        long sinceMs = assignedSinceMs.getOrDefault(cell, nowMs);
        long openAtMs = sinceMs + options.registrationWindowMs();
        Arbiter arbiter = Arbiter.create(cell, pool, fleet::weight, options, openAtMs);
        arbiter.targets(fleet.cells().targets(cell), fleet.unusableTargets());
        arbiters.put(cell, arbiter);
        return arbiter;
    }

    private void linkChanged(Event.PeerLinkChanged changed, long nowMs, ActionSink sink) {
        fleet.reachable(changed.peer(), changed.up());
        if (changed.up()) {
            entry.connected(changed.peer(), nowMs, sink);
            sendEvacuations(changed.peer(), sink);
            streamReplication.connected(changed.peer(), nowMs, sink);
            streamLookups.connected(changed.peer());
        } else {
            arbiters.values().forEach(arbiter -> arbiter.disconnected(changed.peer()));
        }
        // The peer sends its complete state on a new link, so state from an older link must be removed first.
        removePlacements(changed.peer(), nowMs);
        entry.fleetChanged(nowMs, sink);
    }

    /** A peer that started during an outage of the key-value store learns of evacuations only from its peers. */
    private void sendEvacuations(InstanceId peer, ActionSink sink) {
        if (!fleet.evacuations().dataCentres().isEmpty()) {
            sink.accept(new Action.SendPeer(peer, new PeerMessage.DataCentresEvacuated(fleet.evacuations())));
        }
    }

    private void viewChanged(FleetView view, long nowMs, ActionSink sink) {
        FleetView previous = fleet.view();
        fleet.view(view, nowMs);
        for (Member member : previous.members().values()) {
            Member now = view.member(member.id());
            boolean gone = now == null || now.incarnation() != member.incarnation();
            if (gone && !member.id().equals(self.id())) {
                arbiters.values().forEach(arbiter -> removeEntry(arbiter, member.id(), sink));
                removePlacements(member.id(), nowMs);
            }
        }
        updateAssignments(nowMs);
        entry.fleetChanged(nowMs, sink);
    }

    private void removePlacements(InstanceId gone, long nowMs) {
        placements.removeEntry(gone, nowMs);
        changedCells.addAll(placements.cells());
    }

    /**
     * Removes an entry that left the view, and notifies it: if it is still alive, it must register again, since its
     * offers were removed.
     */
    private void removeEntry(Arbiter arbiter, InstanceId gone, ActionSink sink) {
        if (arbiter.isRegistered(gone)) {
            arbiter.unregister(gone);
            sink.accept(new Action.SendPeer(gone, new PeerMessage.Unregister(arbiter.cell())));
            changedCells.add(arbiter.cell());
        }
    }

    private void settingsAccepted(FleetSettings settings, long nowMs, ActionSink sink) {
        fleet.settings(settings);
        servedVersions.listed(settings.targets().values(), nowMs);
        updateAssignments(nowMs);
        refreshTargets(nowMs);
        entry.fleetChanged(nowMs, sink);
    }

    private void targetsLeaving(Set<TargetId> leaving, long nowMs, ActionSink sink) {
        Set<TargetId> newlyLeaving = new TreeSet<>(leaving);
        newlyLeaving.removeAll(fleet.leavingTargets());
        fleet.leavingTargets(leaving);
        refreshTargets(nowMs);
        newlyLeaving.forEach(target -> forwardLeaving(target, PeerMessage.TargetLeaving.LISTED, sink));
    }

    /**
     * Marks a target as draining that announced its shutdown in a response. While the key-value store is unavailable,
     * the target list does not show the shutdown, and the responses of requests sent to the target would be cut when it
     * exits.
     */
    private void targetReportedDraining(Event.TargetReportedDraining said, long nowMs, ActionSink sink) {
        if (markDraining(said.target(), said.startedAtMs(), nowMs, sink)) {
            forwardLeaving(said.target(), said.startedAtMs(), sink);
        }
    }

    /**
     * Applies the operators' list of evacuated data centres and forwards a change to all arbiters, since lists reach
     * instances at different times, and some instances may be unable to read the key-value store.
     */
    private void evacuationsReceived(Evacuations newest, long nowMs, ActionSink sink) {
        if (!fleet.evacuations(newest, nowMs)) {
            return;
        }
        sink.accept(new Action.Decided(Decision.of(
                "data_centres_evacuated", "dataCentres", newest.dataCentres(), "revision", newest.revision())));
        refreshTargets(nowMs);
        Set<InstanceId> arbitersOfCells = new TreeSet<>();
        for (CellId cell : fleet.cells().cells()) {
            InstanceId arbiter = fleet.arbiter(cell);
            if (arbiter != null && !arbiter.equals(self.id())) {
                arbitersOfCells.add(arbiter);
            }
        }
        arbitersOfCells.forEach(
                arbiter -> sink.accept(new Action.SendPeer(arbiter, new PeerMessage.DataCentresEvacuated(newest))));
    }

    /** Replies to a peer whose list is older and differs: it has missed the start or the end of an evacuation. */
    private void correctEvacuations(InstanceId from, Evacuations received, ActionSink sink) {
        Evacuations own = fleet.evacuations();
        if (received.revision() < own.revision() && !received.dataCentres().equals(own.dataCentres())) {
            sink.accept(new Action.SendPeer(from, new PeerMessage.DataCentresEvacuated(own)));
        }
    }

    private boolean markDraining(TargetId target, long startedAtMs, long nowMs, ActionSink sink) {
        if (!fleet.markDraining(target, startedAtMs)) {
            return false;
        }
        sink.accept(new Action.Decided(Decision.of("target_said_leaving", "target", target)));
        refreshTargets(nowMs);
        return true;
    }

    /** Notifies the cell's arbiter, since updates reach instances at different times. */
    private void forwardLeaving(TargetId target, long startedAtMs, ActionSink sink) {
        CellId cell = fleet.cells().cellOf(target);
        InstanceId arbiter = cell == null ? null : fleet.arbiter(cell);
        if (cell != null && arbiter != null && !arbiter.equals(self.id())) {
            sink.accept(new Action.SendPeer(arbiter, new PeerMessage.TargetLeaving(cell.pool(), target, startedAtMs)));
        }
    }

    private void refreshTargets(long nowMs) {
        for (Arbiter arbiter : arbiters.values()) {
            arbiter.targets(fleet.cells().targets(arbiter.cell()), fleet.unusableTargets());
            changedCells.add(arbiter.cell());
        }
        placements.refreshTargets(nowMs);
        changedCells.addAll(placements.cells());
    }

    private void targetReported(Event.TargetReported reported, long nowMs) {
        CellId cell = fleet.cells().cellOf(reported.target());
        if (cell != null) {
            withArbiter(cell, arbiter -> arbiter.reported(reported.target(), reported.report(), nowMs));
        }
    }

    private void updateAssignments(long nowMs) {
        Set<CellId> mine = new TreeSet<>();
        for (CellId cell : fleet.cells().cells()) {
            if (self.id().equals(fleet.assignedArbiter(cell))) {
                mine.add(cell);
                assignedSinceMs.putIfAbsent(cell, nowMs);
            }
        }
        assignedSinceMs.keySet().retainAll(mine);
    }

    private void tick(long nowMs, ActionSink sink) {
        entry.tick(nowMs, sink);
        streamReplication.tick(nowMs, sink);
        streamPersistence.tick(nowMs, sink);
        placements.tick(nowMs, sink);
        disconnectSilentEntries(nowMs, sink);
        arbiters.values().removeIf(arbiter -> !arbiter.hasEntries());
        changedCells.addAll(arbiters.keySet());
        changedCells.addAll(placements.cells());
        arbiters.values().forEach(arbiter -> sendCharges(arbiter, nowMs, sink));
        if (nowMs >= nextUnreachableProbeMs) {
            nextUnreachableProbeMs = nowMs + UNREACHABLE_PROBE_INTERVAL_MS;
            entry.registrations().probeUnreachable(nowMs, sink);
        }
    }

    private void sendCharges(Arbiter arbiter, long nowMs, ActionSink sink) {
        List<CellId> cells = fleet.cells().cells(arbiter.cell().pool());
        PeerMessage.Charges charges = cells.size() < 2 ? null : arbiter.chargesToSend(nowMs);
        if (charges == null) {
            return;
        }
        Set<InstanceId> others = new TreeSet<>();
        for (CellId cell : cells) {
            InstanceId other = fleet.arbiter(cell);
            if (other != null && !cell.equals(arbiter.cell())) {
                others.add(other);
            }
        }
        others.forEach(other -> sink.accept(new Action.SendPeer(other, charges)));
    }
}
