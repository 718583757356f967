package org.marjoramswitch.kernel.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.crash.CrashSuspects;
import org.marjoramswitch.kernel.crash.PoisonRequests;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.liveness.SilentPeerDetector;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.DeclineReason;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.placement.RetryAfterPolicy;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Queues the requests of one instance's own callers, binds grants to them, evaluates how attempts ended and completes
 * or fails each request exactly once.
 *
 * <p>Only the entry starts a request. Regardless of what arbiters do, a request therefore runs no more often than the
 * entry's own attempts: one at a time, another one only if the last certainly did not run or the request is repeatable,
 * and none after a part of the response has reached the caller, unless a placed request is resumable.
 *
 * <p>A request ends as "not run" only if no attempt of it may have run. One whose first attempt broke off and whose
 * second was rejected ends as unknown.
 *
 * <p>While a cell's arbiter is unreachable, or is new and still collects registrations, a request that ends passes its
 * slot to the next request waiting here, in the order of the customers' leads last received. Capacity is thus not idle
 * during a change of arbiter; the entry registers again afterwards and the arbiter accounts for the slot.
 *
 * <p>A request under which several targets have crashed, or under a part of whose prompt they have, is not retried,
 * whichever instance observed the crashes ({@link CrashReports}). A target that requested a backoff from this instance is not used until the backoff has elapsed
 * ({@link TargetBackoffs}).
 */
public final class Entry {
    private static final long RETRY_AFTER_MS = 1_000;
    /** Short, since another instance can accept the request immediately. */
    private static final long LEAVING_RETRY_AFTER_MS = 100;

    /** Delay between the trials of two instances. A crash is reported to all instances well within it. */
    private static final long TRIAL_STAGGER_MS = 500;

    /** A longer interval between ticks means that the process was paused or lacked processor time. */
    private static final long PAUSE_MS = 300;

    private static final long PROGRESS_QUERY_INTERVAL_MS = 500;

    /**
     * How long after its deadline a request is ended although its attempt has not reported its end. The attempt ends
     * itself once its sockets were read, so this only covers reports that were lost.
     */
    private static final long MAX_LAST_READ_MS = 10_000;

    private final KernelOptions options;
    private final FleetState fleet;
    private final InstanceId self;
    private final DemandPublisher demand;
    private final Map<PoolId, PoolQueues> pools = new TreeMap<>();
    private final Map<Long, EntryRequest> requests = new TreeMap<>();
    private final RequestTimeouts timeouts = new RequestTimeouts();
    private final Registrations registrations;
    private final Placements placements;
    private final SilentPeerDetector silentArbiterDetector = SilentPeerDetector.create();
    private final CrashReports crashReports = new CrashReports();
    private final TargetBackoffs targetBackoffs = new TargetBackoffs();
    private final SendAdmission admission;
    private final StopPolicy stopPolicy;
    private final ListWaits listWaits = new ListWaits();
    private final SlotWaits slotWaits = new SlotWaits();
    private int totalWaiting;
    private boolean draining;
    private long lastTickMs;

    private Entry(InstanceId self, KernelOptions options, FleetState fleet, StreamDirectory streams) {
        this.self = self;
        this.options = options;
        this.fleet = fleet;
        this.demand = new DemandPublisher(options, fleet);
        this.registrations = new Registrations(self, options, fleet, demand, this::pool, requests.values());
        this.placements = new Placements(self, fleet, targetBackoffs, streams);
        this.stopPolicy = StopPolicy.of(this::pool, requests.values());
        this.admission = SendAdmission.of(fleet, targetBackoffs, crashReports, stopPolicy);
    }

    public static Entry create(InstanceId self, KernelOptions options, FleetState fleet, StreamDirectory streams) {
        return new Entry(self, options, fleet, streams);
    }

    /** This entry's registrations with the arbiters. */
    public Registrations registrations() {
        return registrations;
    }

    /** The number of requests that have not ended. */
    public int openCount() {
        return requests.size();
    }

    /** The number of requests that wait for a grant or a placement. */
    public int waitingCount() {
        return totalWaiting;
    }

    /** Accepts and sends from now on only requests that can end before the drain does. */
    public void stop(long drainEndsAtMs) {
        stopPolicy.stop(drainEndsAtMs);
    }

    /** Rejects new requests from now on; accepted ones run to completion. */
    public void drain() {
        draining = true;
    }

    /** Queues a new request of a caller, or fails it immediately if it cannot be accepted. */
    public void arrived(RequestSpec spec, long nowMs, ActionSink sink) {
        PoolSettings settings = fleet.settings().pools().get(spec.pool());
        CrashSuspects suspects = CrashSuspects.of(spec);
        // The request was routed by other settings than these, which do not show whether its route still exists.
        Failure refusal = settings == null
                ? Failure.notRun(
                        ErrorType.NO_TARGET_IN_TIME, RETRY_AFTER_MS, spec.pool().name())
                : refusal(spec, suspects, nowMs);
        if (refusal != null) {
            refuse(spec, refusal, sink);
            return;
        }
        boolean isTrial = crashReports.poisonRequests().admitted(suspects, nowMs);
        EntryRequest request = new EntryRequest(spec, suspects, isTrial, nowMs);
        requests.put(spec.requestId(), request);
        timeouts.set(request, request.waitsUntilMs());
        if (spec.placement() != null) {
            pool(spec.pool()).windowedRetryBudget().requested(options.resendLimits(), nowMs);
        }
        enqueue(request, nowMs, sink);
    }

    /** Cancels a request whose caller has disconnected. */
    public void callerGone(long requestId, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        request.markCallerGone();
        TargetId target = request.target();
        if (target != null) {
            sink.accept(new Action.CancelAttempt(requestId, target));
            return;
        }
        dequeue(request, sink);
        fail(request, ErrorType.CALLER_GONE, 0, "", sink);
    }

    /** The first byte of the running attempt's response has arrived. */
    public void responseStarted(long requestId, boolean delivered, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        if (request == null || request.target() == null) {
            return;
        }
        crashReports.responseBegan(request, nowMs);
        PlacementSpec placement = request.spec().placement();
        if (delivered && placement != null && (placement.resumable() || placement.stream() != null)) {
            request.streamStarted();
        }
        placements.responseStarted(request, nowMs, sink);
        request.silentAttemptEnded(false);
        releaseReserved(request, sink);
    }

    /** Handles a placement: starts the request at the target, or returns the placement if the target cannot be used. */
    public void placed(InstanceId from, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        EntryRequest request = placements.placed(from, placed, nowMs, sink);
        if (request == null) {
            return;
        }
        TargetId running = request.target();
        if (running != null) {
            replacementPlaced(request, running, placed, nowMs, sink);
            return;
        }
        startPlaced(from, request, placed, nowMs, sink);
    }

    /** Ends the attempt at a silent target, now that a slot for the next one is reserved. */
    private void replacementPlaced(
            EntryRequest request, TargetId silent, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        SendAdmission.Verdict verdict = admission.check(request, placed.target(), placed.startWithinMs(), nowMs);
        boolean admitted = verdict == SendAdmission.Verdict.ADMITTED;
        if (!admitted || !placements.keepReserved(request, placed, nowMs)) {
            String reason = admitted ? "reservation_outdated" : verdict.name();
            sink.accept(EntryLog.replacementRejected(request, silent, reason));
            releaseReserved(request, sink);
            return;
        }
        sink.accept(EntryLog.silentAttemptReplaced(request, silent, placed.target()));
        request.silentAttemptEnded(true);
        sink.accept(new Action.EndSilentAttempt(request.spec().requestId(), silent));
    }

    /** Releases the slot and the retry that were reserved for the next attempt of a running request. */
    private void releaseReserved(EntryRequest request, ActionSink sink) {
        placements.release(request, sink);
        giveBackReservedRetry(request);
    }

    /** Gives back the retry unless the silent attempt is about to end: the next one must not lack a retry then. */
    private void giveBackReservedRetry(EntryRequest request) {
        if (!request.isSilentAttemptEnded() && request.takeReservedRetry()) {
            pool(request.spec().pool()).windowedRetryBudget().giveBack(request.retryReservedAtMs());
        }
    }

    private void startPlaced(
            InstanceId from, EntryRequest request, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        long startWithinMs = placements.startWithinMs(request, placed, nowMs);
        // The arbiter may have found the version of the request's stream, and may have an older list of targets.
        request.resumeAt(placed.softwareVersion());
        SendAdmission.Verdict verdict = admission.check(request, placed.target(), startWithinMs, nowMs);
        if (verdict == SendAdmission.Verdict.ADMITTED) {
            totalWaiting--;
            request.fetchFrom(usableSource(placed.fetchFrom(), nowMs));
            request.startWithinMs(startWithinMs);
            start(request, placed.target(), placed.cell(), placed.placementId(), "placed", nowMs, sink);
            return;
        }
        sink.accept(EntryLog.sendRejected(request, placed.target(), verdict));
        if (verdict == SendAdmission.Verdict.DATA_CENTRE_EVACUATED && !from.equals(self)) {
            // One of the two lists is out of date; the arbiter adopts this one or replies with a newer one.
            sink.accept(new Action.SendPeer(from, new PeerMessage.DataCentresEvacuated(fleet.evacuations())));
        }
        boolean onlyTarget = placements.wasExcluded(request, placed.target());
        placements.attemptEnded(request, PlacementEnd.NOT_RUN, sink);
        if (verdict.endsRequest()) {
            endUnsent(request, verdict, nowMs, sink);
            return;
        }
        if (onlyTarget && verdict == SendAdmission.Verdict.TARGET_IN_BACKOFF) {
            // The arbiter selected an excluded target for lack of another one. It would do so again until the backoff
            // has elapsed.
            refuseForBackoff(request, targetBackoffs.remainingMs(List.of(placed.target()), nowMs), nowMs, sink);
            return;
        }
        if (verdict.excludesTarget()) {
            request.excludeUnusable(placed.target());
        }
        if (onlyTarget && verdict.excludesTarget()) {
            waitForList(request, nowMs, sink);
            return;
        }
        requestPlacement(request, nowMs, sink);
    }

    /** Waits until the arbiter's list of targets may have caught up, or rejects the request. */
    private void waitForList(EntryRequest request, long nowMs, ActionSink sink) {
        if (listWaits.add(request, nowMs)) {
            return;
        }
        totalWaiting--;
        ErrorType type = request.streamVersion() == null ? ErrorType.NO_TARGET_IN_TIME : ErrorType.STREAM_NOT_RESUMABLE;
        fail(request, type, RETRY_AFTER_MS, request.spec().pool().name(), sink);
    }

    private void endPlacementWaits(long nowMs, ActionSink sink) {
        List<EntryRequest> due = listWaits.takeDue(nowMs);
        due.addAll(slotWaits.takeDue(nowMs));
        for (EntryRequest request : due) {
            if (requests.get(request.spec().requestId()) == request) {
                requestPlacement(request, nowMs, sink);
            }
        }
    }

    private void failLeaving(EntryRequest request, ActionSink sink) {
        fail(request, ErrorType.INSTANCE_LEAVING, LEAVING_RETRY_AFTER_MS, self.name(), sink);
    }

    /** Ends waiting requests that could not end before the drain does, so that their callers can go elsewhere. */
    private void refuseUnfinishable(long nowMs, ActionSink sink) {
        for (EntryRequest request : stopPolicy.unfinishable(nowMs)) {
            dequeue(request, sink);
            failLeaving(request, sink);
        }
    }

    /** Ends a request that may not be sent to any target. */
    private void endUnsent(EntryRequest request, SendAdmission.Verdict verdict, long nowMs, ActionSink sink) {
        totalWaiting--;
        switch (verdict) {
            case CALLER_GONE -> fail(request, ErrorType.CALLER_GONE, 0, "", sink);
            case REQUEST_BLOCKED -> failBlocked(request, nowMs, sink);
            case INSTANCE_LEAVING -> failLeaving(request, sink);
            default -> fail(request, ErrorType.WAIT_TIMEOUT, RETRY_AFTER_MS, "", sink);
        }
    }

    /**
     * The source if it can be used, otherwise null: one that is gone would not respond, or its address may belong to
     * another service now. Without a source the target computes the whole prompt itself.
     */
    private @Nullable TargetId usableSource(@Nullable TargetId source, long nowMs) {
        boolean usable = source != null && !admission.checkTarget(source, nowMs).excludesTarget();
        return usable ? source : null;
    }

    /** Fails a request for which the arbiter found no target that could serve it in time. */
    public void notPlaced(InstanceId from, PeerMessage.NotPlaced refused, long nowMs, ActionSink sink) {
        EntryRequest request = placements.notPlaced(from, refused, nowMs, sink);
        if (request == null) {
            return;
        }
        TargetId running = request.target();
        if (running != null) {
            sink.accept(EntryLog.replacementRejected(request, running, "not_placed"));
            giveBackReservedRetry(request);
            return;
        }
        if (refused.targetsUnknown() && placements.replaceArbiterWithoutTargets(request, from, nowMs, sink)) {
            requestPlacement(request, nowMs, sink);
            return;
        }
        if (!refused.streamLost() && slotWaits.add(request, nowMs)) {
            return;
        }
        totalWaiting--;
        // The arbiter's log explains the rejection under this cell and placement id.
        String placement = refused.cell() + "#" + refused.placementId();
        ErrorType type = refused.streamLost() ? ErrorType.STREAM_NOT_RESUMABLE : ErrorType.NO_TARGET_IN_TIME;
        fail(request, type, refused.retryAfterMs(), placement, sink);
    }

    /** Adapts registrations and placement requests to changed arbiters, cells or links. */
    public void fleetChanged(long nowMs, ActionSink sink) {
        registrations.fleetChanged(nowMs, sink);
        placements.fleetChanged(nowMs, sink).forEach(this::giveBackReservedRetry);
    }

    /** Sends the state of this entry over a new link to a peer. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        registrations.connected(peer, nowMs, sink);
        placements.connected(peer, nowMs, sink).forEach(this::giveBackReservedRetry);
        crashReports.connected(peer, nowMs, sink);
    }

    /** Starts a backoff of a target that rejected a request with a Retry-After. */
    public void backoffRequested(TargetId target, long backoffMs, long nowMs, ActionSink sink) {
        if (targetBackoffs.add(target, nowMs + backoffMs, nowMs)) {
            sink.accept(EntryLog.targetInBackoff(target, backoffMs));
        }
    }

    /** Applies crash reports of a peer: crashed targets, and requests that have since been served. */
    public void crashesReported(PeerMessage.CrashNews update, long nowMs, ActionSink sink) {
        crashReports.received(update, nowMs).forEach(digest -> refuseBlocked(digest, nowMs, sink));
    }

    /** Records that a message arrived from a peer. */
    public void messageReceived(InstanceId peer, long nowMs) {
        silentArbiterDetector.messageReceived(peer, nowMs);
        registrations.messageReceived(peer, nowMs);
    }

    /**
     * Updates the cost of the running attempt, which has delivered {@code outputTokens} so far. The arbiter is notified
     * only when the cost has grown by {@code progressStepTokens}.
     */
    public void delivered(long requestId, long outputTokens, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        if (request == null || request.target() == null) {
            return;
        }
        crashReports.responseProgressed(request, nowMs);
        PoolSettings pool = poolSettings(request);
        if (pool == null) {
            return;
        }
        request.costTokens(CostModel.running(pool, request.spec(), outputTokens));
        CellLink link = linkOf(request);
        if (link == null || request.costTokens() - request.reportedTokens() < options.progressStepTokens()) {
            return;
        }
        request.markReported();
        demand.send(link, new PeerMessage.Progress(link.cell(), request.sequence(), request.costTokens()), sink);
    }

    /**
     * Reserves a slot at another target if that may serve the request or continue its response. The attempt ends only
     * once the slot is reserved, otherwise it goes on: a sound target may be silent for a while, and the caller may wait
     * longer.
     *
     * @param answerBegun whether a part of the response has been delivered
     */
    public void targetSilent(long requestId, boolean answerBegun, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        TargetId target = request == null ? null : request.target();
        if (request == null || target == null) {
            return;
        }
        if (answerBegun) {
            // The report of the response's first byte may have been lost in a full ring.
            request.streamStarted();
        }
        boolean replaceable = mayContinueElsewhere(request, answerBegun, nowMs);
        sink.accept(EntryLog.responseStalled(request, target, answerBegun, replaceable));
        if (replaceable && !placements.reserve(request, nowMs, sink)) {
            giveBackReservedRetry(request);
        }
    }

    private boolean mayContinueElsewhere(EntryRequest request, boolean answerBegun, long nowMs) {
        if (blockedForMs(request, nowMs) > 0
                || !AttemptRules.mayReplaceRunning(request, answerBegun, nowMs)
                || !placements.hasAlternative(request, nowMs)) {
            return false;
        }
        if (!request.hasReservedRetry()
                && takeRetry(request, pool(request.spec().pool()), nowMs)) {
            request.reserveRetry(nowMs);
        }
        return request.hasReservedRetry();
    }

    /** Reports the cost of an ended attempt to its arbiter, and completes, retries or fails the request. */
    public void attemptEnded(Event.TargetEnded ended, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(ended.requestId());
        TargetOutcome outcome = ended.outcome();
        TargetId target = request == null ? null : request.target();
        if (request == null || target == null) {
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        CellLink link = linkOf(request);
        request.progressReported(ended.sinceProgressMs(), nowMs);
        settle(request, outcome, ended.usage(), link, sink);
        placements.attemptEnded(request, AttemptRules.placementEnd(outcome), sink);
        request.silentAttemptEnded(request.isSilentAttemptEnded() && outcome.isSilent());
        if (!outcome.notRun()) {
            request.markMayHaveRun();
            stopPolicy.ended(request, outcome == TargetOutcome.COMPLETED, nowMs);
        }
        if (outcome.answerBegun()) {
            // The report of the response's first byte may have been lost in a full ring.
            request.streamStarted();
        } else {
            request.nothingDelivered();
        }
        recordCrash(request, target, outcome, nowMs, sink);
        finishOrRetry(request, outcome, pool, nowMs, sink);
        if (link != null && !outcome.targetFault()) {
            reuseSlot(link, pool, target, nowMs, sink);
        }
    }

    /** Binds a grant to a waiting request, or declines it. */
    public void granted(InstanceId from, PeerMessage.Grant grant, long nowMs, ActionSink sink) {
        CellLink link = demand.linkOrNull(grant.cell());
        DeclineReason reason = reasonToDecline(from, grant, link, nowMs);
        if (link == null || reason != null) {
            decline(from, grant, reason == null ? DeclineReason.NOT_THE_ARBITER : reason, nowMs, sink);
            return;
        }
        link.recordGrant(grant.sequence());
        link.leadTokens(grant.customer(), grant.aheadTokens());
        PoolQueues pool = pool(grant.cell().pool());
        EntryRequest request = take(pool, grant.customer(), grant.target(), nowMs);
        if (request == null && pool.size(grant.customer()) > 0) {
            returnAsFault(link, grant, sink);
            demand.granted(link, pool, grant.customer(), nowMs, sink);
            return;
        }
        demand.granted(link, pool, grant.customer(), nowMs, sink);
        if (request == null) {
            sendDecline(from, grant, DeclineReason.NOTHING_WAITING, sink);
            return;
        }
        start(request, grant.target(), grant.cell(), grant.sequence(), "grant", nowMs, sink);
    }

    /**
     * Returns a grant of a target that has refused the connections of all requests that could use it. It counts as a
     * fault: a declined grant would be repeated at once, since it does not lead to the target's ejection.
     */
    private void returnAsFault(CellLink link, PeerMessage.Grant grant, ActionSink sink) {
        demand.send(link, new PeerMessage.Ended(grant.cell(), grant.sequence(), 0, true), sink);
        sink.accept(EntryLog.returnedAsFault(grant));
    }

    /** Records that a target has cached a prompt prefix, or that it has evicted it if not {@code present}. */
    public void prefixCached(TargetId target, long prefixHash, boolean present) {
        CellId cell = fleet.cells().cellOf(target);
        if (cell == null) {
            return;
        }
        PrefixDirectory prefixes = pool(cell.pool()).prefixes();
        if (present) {
            prefixes.record(target, prefixHash);
            return;
        }
        prefixes.remove(target, prefixHash);
    }

    /**
     * Handles the passage of time: expired deadlines, silent arbiters, elapsed backoffs, unsent crash reports, waiting
     * offers.
     */
    public void tick(long nowMs, ActionSink sink) {
        if (nowMs - lastTickMs >= PAUSE_MS) {
            placements.processResumed(nowMs);
        }
        lastTickMs = nowMs;
        expire(nowMs, sink);
        refuseUnfinishable(nowMs, sink);
        registrations.tick(nowMs, sink);
        endPlacementWaits(nowMs, sink);
        replaceSilentPlacementArbiters(nowMs, sink);
        refuseOverdue(nowMs, sink);
        placements.releaseOverdue(nowMs, sink).forEach(this::giveBackReservedRetry);
        crashReports.tick(nowMs, sink);
        publishCrashes(sink);
        placements.fleetChanged(nowMs, sink).forEach(this::giveBackReservedRetry);
        if (targetBackoffs.expire(nowMs)) {
            placements.backoffEnded(nowMs, sink);
        }
        pools.values().forEach(pool -> demand.spill(pool, nowMs, sink));
    }

    /**
     * Switches from silent arbiters to the next ones in rank: requests would wait for a paused or disconnected arbiter
     * while targets are idle.
     */
    private void replaceSilentPlacementArbiters(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = placements.awaitedArbiters();
        awaited.removeAll(fleet.unreachable());
        for (InstanceId silent :
                silentArbiterDetector.silentPeers(awaited, nowMs, peer -> registrations.probe(peer, nowMs, sink))) {
            fleet.reachable(silent, false);
            placements.arbiterSilent(silent, nowMs, sink);
        }
    }

    /** Rejects requests whose arbiter did not respond in time, instead of holding them until their deadlines. */
    private void refuseOverdue(long nowMs, ActionSink sink) {
        for (EntryRequest request : placements.takeOverdue(nowMs, sink)) {
            if (slotWaits.add(request, nowMs)) {
                continue;
            }
            totalWaiting--;
            RequestSpec spec = request.spec();
            long retryAfterMs = RetryAfterPolicy.spreadAfterMs(spec.deadlineMs(), spec.requestId(), nowMs);
            fail(request, ErrorType.NO_TARGET_IN_TIME, retryAfterMs, "no answer of the arbiter", sink);
        }
    }

    private void publishCrashes(ActionSink sink) {
        if (!crashReports.hasUpdates()) {
            return;
        }
        Set<InstanceId> peers = new TreeSet<>(fleet.view().members().keySet());
        peers.remove(self);
        crashReports.publish(peers, sink);
    }

    /** Clears a request that got a complete response; records a crash if the target broke off. */
    private void recordCrash(
            EntryRequest request, TargetId target, TargetOutcome outcome, long nowMs, ActionSink sink) {
        for (long digest : crashReports.attemptEnded(request, target, outcome, nowMs)) {
            crashReports.persist(digest, nowMs, sink);
            refuseBlocked(digest, nowMs, sink);
        }
    }

    /**
     * Rejects waiting requests that are blocked immediately, since they would crash the next target together with
     * everything that runs there.
     *
     * @param digest of a request or prompt part
     */
    private void refuseBlocked(long digest, long nowMs, ActionSink sink) {
        PoisonRequests poisonRequests = crashReports.poisonRequests();
        long blockedForMs = poisonRequests.blockedForMs(digest, nowMs);
        if (blockedForMs == 0) {
            return;
        }
        sink.accept(EntryLog.blocked(digest, poisonRequests, blockedForMs));
        for (EntryRequest request : List.copyOf(requests.values())) {
            boolean blocked = request.suspects().contains(digest) && blockedForMs(request, nowMs) > 0;
            if (blocked && request.target() == null) {
                dequeue(request, sink);
                failBlocked(request, nowMs, sink);
            }
        }
    }

    private void failBlocked(EntryRequest request, long nowMs, ActionSink sink) {
        PoisonRequests poisonRequests = crashReports.poisonRequests();
        fail(
                request,
                ErrorType.REQUEST_BLOCKED,
                blockedForMs(request, nowMs),
                Long.toHexString(poisonRequests.blockedDigest(request.suspects(), nowMs)),
                sink);
    }

    /** Remaining time for which the request may not be sent to a target; 0 if it may. */
    private long blockedForMs(EntryRequest request, long nowMs) {
        return crashReports.blockedForMs(request, nowMs);
    }

    /** This instance's delay of a trial, by its rank among the instances, which all of them compute alike. */
    private long trialDelayMs(long digest) {
        List<InstanceId> ranked =
                Rendezvous.rank(Long.toHexString(digest), fleet.view().eligible());
        return TRIAL_STAGGER_MS * Math.max(0, ranked.indexOf(self));
    }

    private void requestPlacement(EntryRequest request, long nowMs, ActionSink sink) {
        if (placements.isEvacuated(request)) {
            totalWaiting--;
            fail(
                    request,
                    ErrorType.DATA_CENTRES_EVACUATED,
                    RETRY_AFTER_MS,
                    request.spec().pool().name(),
                    sink);
            return;
        }
        long backoffRemainingMs = placements.backoffRemainingMs(request, nowMs);
        if (backoffRemainingMs > 0) {
            refuseForBackoff(request, backoffRemainingMs, nowMs, sink);
            return;
        }
        if (!placements.requestPlacement(request, nowMs, sink)) {
            totalWaiting--;
            fail(request, ErrorType.NO_TARGET_IN_TIME, RETRY_AFTER_MS, "", sink);
        }
    }

    /**
     * Rejects a request while all its targets are in backoff, so that its caller can retry elsewhere instead of
     * waiting.
     */
    private void refuseForBackoff(EntryRequest request, long backoffRemainingMs, long nowMs, ActionSink sink) {
        if (slotWaits.add(request, nowMs)) {
            return;
        }
        totalWaiting--;
        fail(
                request,
                ErrorType.TARGETS_REST,
                backoffRemainingMs,
                request.spec().pool().name(),
                sink);
    }

    private @Nullable Failure refusal(RequestSpec spec, CrashSuspects suspects, long nowMs) {
        PoisonRequests poisonRequests = crashReports.poisonRequests();
        long blockedForMs = Math.max(
                poisonRequests.blockedForMs(suspects, nowMs),
                poisonRequests.trialDueInMs(suspects, this::trialDelayMs, nowMs));
        if (blockedForMs > 0) {
            String blocked = Long.toHexString(poisonRequests.blockedDigest(suspects, nowMs));
            return Failure.notRun(ErrorType.REQUEST_BLOCKED, blockedForMs, blocked);
        }
        if (draining || !stopPolicy.mayAccept(spec, nowMs)) {
            return Failure.notRun(ErrorType.INSTANCE_LEAVING, LEAVING_RETRY_AFTER_MS, self.name());
        }
        if (totalWaiting >= options.maxWaiting()) {
            return Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, RETRY_AFTER_MS, self.name());
        }
        CustomerSettings customer = fleet.settings().customers().get(spec.customer());
        PoolQueues pool = pool(spec.pool());
        int queued = pool.size(spec.customer());
        if (customer != null && queued >= customer.maxQueued()) {
            long retryAfterMs = pool.drainRate(spec.customer()).retryAfterMs(queued);
            return Failure.notRun(ErrorType.CUSTOMER_QUEUE_FULL, retryAfterMs, Integer.toString(queued));
        }
        return null;
    }

    private void refuse(RequestSpec spec, Failure refusal, ActionSink sink) {
        sink.accept(new Action.Fail(spec.requestId(), refusal));
        sink.accept(EntryLog.refused(spec, refusal));
    }

    private void enqueue(EntryRequest request, long nowMs, ActionSink sink) {
        if (request.spec().placement() != null) {
            totalWaiting++;
            PeerMessage.Placed reserved = placements.takeReserved(request, nowMs, sink);
            if (reserved == null) {
                requestPlacement(request, nowMs, sink);
            } else {
                startPlaced(placements.arbiterOf(request), request, reserved, nowMs, sink);
            }
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        CustomerQueue queue = pool.add(request);
        totalWaiting++;
        demand.requestArrived(pool, queue, request, nowMs, sink);
    }

    private void dequeue(EntryRequest request, ActionSink sink) {
        if (request.spec().placement() != null) {
            totalWaiting--;
            placements.withdraw(request, sink);
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        pool.remove(request);
        totalWaiting--;
        if (pool.queue(request.spec().customer()) == null) {
            demand.withdraw(pool.pool(), request.spec().customer(), sink);
        }
    }

    private @Nullable EntryRequest take(PoolQueues pool, CustomerId customer, TargetId target, long nowMs) {
        CustomerQueue queue = pool.queue(customer);
        if (queue == null) {
            return null;
        }
        EntryRequest request = queue.take(
                target,
                pool.prefixes(),
                waiting -> waiting.wasRefusedBy(target, nowMs) && hasUntriedTarget(waiting, nowMs));
        pool.dropIfEmpty(queue);
        if (request != null) {
            totalWaiting--;
        }
        return request;
    }

    /** Whether the pool has a usable target at which the request has not failed. */
    private boolean hasUntriedTarget(EntryRequest request, long nowMs) {
        return fleet.settings().targets().values().stream()
                .filter(target -> target.pool().equals(request.spec().pool()))
                .filter(target -> !request.hasFailedAt(target.id()))
                .anyMatch(target -> admission.checkTarget(target.id(), nowMs) == SendAdmission.Verdict.ADMITTED);
    }

    private void start(
            EntryRequest request,
            TargetId target,
            CellId cell,
            long sequence,
            String reason,
            long nowMs,
            ActionSink sink) {
        RequestSpec spec = request.spec();
        PoolQueues pool = pool(spec.pool());
        boolean prefixHeld = pool.prefixes().holds(target, spec.prefixHash());
        String softwareVersion = softwareVersion(target);
        request.attemptStarted(target, softwareVersion, cell, sequence, nowMs);
        if (spec.placement() != null && spec.placement().resumesStream()) {
            request.resumeAt(softwareVersion);
        }
        pool.prefixes().record(target, spec.prefixHash());
        pool.drainRate(spec.customer()).requestStarted(nowMs);
        sink.accept(new Action.Dispatch(
                spec.requestId(), target, request.attempts(), request.fetchFrom(), request.startWithinMs()));
        sink.accept(EntryLog.dispatched(request, target, cell, reason, softwareVersion, prefixHeld, nowMs));
    }

    private String softwareVersion(TargetId target) {
        TargetSettings settings = fleet.settings().targets().get(target);
        return settings == null ? "" : settings.softwareVersion();
    }

    private void settle(
            EntryRequest request, TargetOutcome outcome, Usage usage, @Nullable CellLink link, ActionSink sink) {
        PoolSettings pool = poolSettings(request);
        long reported = pool == null || outcome.notRun() ? 0 : CostModel.settled(pool, usage);
        // An attempt that broke off reports no usage; what it had delivered still counts as served.
        request.costTokens(outcome.notRun() ? 0 : Math.max(reported, minCostTokens(request, outcome)));
        if (link == null) {
            return;
        }
        demand.send(
                link,
                new PeerMessage.Ended(link.cell(), request.sequence(), request.costTokens(), outcome.targetFault()),
                sink);
    }

    private static long minCostTokens(EntryRequest request, TargetOutcome outcome) {
        return outcome == TargetOutcome.COMPLETED ? 0 : request.costTokens();
    }

    private void finishOrRetry(
            EntryRequest request, TargetOutcome outcome, PoolQueues pool, long nowMs, ActionSink sink) {
        if (outcome == TargetOutcome.COMPLETED) {
            PoolSettings settings = poolSettings(request);
            pool.succeeded(settings == null ? 0 : settings.retryShare());
            complete(request, sink);
            return;
        }
        if (outcome == TargetOutcome.SERVER_ERROR_DELIVERED) {
            complete(request, sink);
            return;
        }
        if (outcome == TargetOutcome.CANCELLED && request.isExpired() && !request.callerGone()) {
            fail(request, ErrorType.REQUEST_TIMEOUT, 0, String.valueOf(request.target()), sink);
            return;
        }
        if (outcome == TargetOutcome.CANCELLED || request.callerGone()) {
            fail(request, ErrorType.CALLER_GONE, 0, "", sink);
            return;
        }
        if (outcome == TargetOutcome.CONNECTION_REFUSED) {
            request.connectionRefusedAt(nowMs);
        }
        // Nothing has arrived at any target, so a retry adds no load. Once for each target: where all of them refuse,
        // the request has to end.
        boolean isConnectionRefused = outcome == TargetOutcome.CONNECTION_REFUSED
                && request.spec().placement() != null
                && request.target() != null
                && !request.hasFailedAt(request.target());
        if (isConnectionRefused) {
            request.connectionRefused();
        }
        boolean blocked = blockedForMs(request, nowMs) > 0;
        boolean mayRetry = !blocked && AttemptRules.mayRetry(request, outcome, nowMs);
        if (mayRetry && outcome == TargetOutcome.NOT_SENT) {
            request.attemptNotSent();
            enqueue(request, nowMs, sink);
            return;
        }
        if (mayRetry && (isConnectionRefused || request.takeReservedRetry() || takeRetry(request, pool, nowMs))) {
            request.attemptFailed();
            enqueue(request, nowMs, sink);
            return;
        }
        if (outcome == TargetOutcome.SERVER_ERROR) {
            // The target's own response is more informative to the caller than a generated failure.
            complete(request, sink);
            return;
        }
        if (mayRetry) {
            fail(
                    request,
                    ErrorType.RETRY_BUDGET_SPENT,
                    RETRY_AFTER_MS,
                    pool.pool().name(),
                    sink);
            return;
        }
        fail(
                request,
                AttemptRules.errorOf(outcome),
                AttemptRules.retryAfterMs(outcome),
                String.valueOf(request.target()),
                sink);
    }

    private void complete(EntryRequest request, ActionSink sink) {
        remove(request, sink);
        sink.accept(new Action.Complete(request.spec().requestId()));
    }

    private void remove(EntryRequest request, ActionSink sink) {
        requests.remove(request.spec().requestId());
        timeouts.remove(request);
        request.silentAttemptEnded(false);
        releaseReserved(request, sink);
    }

    private boolean takeRetry(EntryRequest request, PoolQueues pool, long nowMs) {
        if (request.spec().placement() == null) {
            return pool.takeRetry(request.mayHaveRun());
        }
        int instances = fleet.view().members().size();
        return pool.windowedRetryBudget().take(options.resendLimits(), instances, nowMs);
    }

    private void fail(EntryRequest request, ErrorType type, long retryAfterMs, String detail, ActionSink sink) {
        remove(request, sink);
        RunState run = request.mayHaveRun() ? RunState.UNKNOWN : RunState.NOT_RUN;
        sink.accept(new Action.Fail(request.spec().requestId(), new Failure(type, run, retryAfterMs, detail)));
    }

    private void expire(long nowMs, ActionSink sink) {
        for (EntryRequest request : timeouts.takeDue(nowMs)) {
            if (request.spec().deadlineMs() <= nowMs) {
                timedOut(request, nowMs, sink);
                continue;
            }
            // Parts of the response are written to the caller outside of the kernel. The query may be lost with its
            // reply, so it is repeated.
            queryProgressLater(request, nowMs);
            sink.accept(new Action.QueryProgress(request.spec().requestId()));
        }
    }

    private void queryProgressLater(EntryRequest request, long nowMs) {
        timeouts.set(request, Math.min(request.spec().deadlineMs(), nowMs + PROGRESS_QUERY_INTERVAL_MS));
    }

    /**
     * Ends a waiting request whose caller has received nothing for its progress timeout. A running one continues: the
     * caller's connection has been read and is open, so it is owed the response, of which parts may lie unread or
     * unwritten here.
     */
    public void progressReported(long requestId, long sinceProgressMs, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        if (request == null || request.isExpired()) {
            return;
        }
        request.progressReported(sinceProgressMs, nowMs);
        timeouts.set(request, request.waitsUntilMs());
        if (request.waitsUntilMs() > nowMs) {
            return;
        }
        if (request.target() != null) {
            sink.accept(EntryLog.callerOverdue(request, nowMs));
            queryProgressLater(request, nowMs);
            return;
        }
        sink.accept(EntryLog.callerTimedOut(request, nowMs));
        timedOut(request, nowMs, sink);
    }

    private void timedOut(EntryRequest request, long nowMs, ActionSink sink) {
        if (request.target() != null) {
            expireRunning(request, nowMs, sink);
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        CustomerId customer = request.spec().customer();
        long retryAfterMs = pool.drainRate(customer).retryAfterMs(pool.size(customer));
        dequeue(request, sink);
        fail(request, ErrorType.WAIT_TIMEOUT, retryAfterMs, "", sink);
    }

    /**
     * Ends a running placed request whose deadline has passed, so that the target does not spend time on it. A response
     * that has arrived completely is still delivered.
     */
    private void expireRunning(EntryRequest request, long nowMs, ActionSink sink) {
        TargetId target = request.target();
        if (request.spec().placement() == null || target == null) {
            return;
        }
        if (request.markExpired()) {
            timeouts.set(request, nowMs + MAX_LAST_READ_MS);
            sink.accept(new Action.ExpireAttempt(request.spec().requestId(), target));
            return;
        }
        sink.accept(new Action.CancelAttempt(request.spec().requestId(), target));
        placements.attemptEnded(request, PlacementEnd.GIVEN_UP, sink);
        request.markMayHaveRun();
        fail(request, ErrorType.REQUEST_TIMEOUT, 0, target.name(), sink);
    }

    private @Nullable DeclineReason reasonToDecline(
            InstanceId from, PeerMessage.Grant grant, @Nullable CellLink link, long nowMs) {
        if (link == null || !from.equals(link.arbiter()) || link.awaitsBarrier()) {
            return DeclineReason.NOT_THE_ARBITER;
        }
        // This entry may know that the target cannot be used before the arbiter does.
        return switch (admission.checkTarget(grant.target(), nowMs)) {
            case TARGET_UNKNOWN -> DeclineReason.TARGET_UNKNOWN;
            case TARGET_DRAINING, DATA_CENTRE_EVACUATED -> DeclineReason.TARGET_LEAVING;
            default -> null;
        };
    }

    private void decline(InstanceId from, PeerMessage.Grant grant, DeclineReason reason, long nowMs, ActionSink sink) {
        sendDecline(from, grant, reason, sink);
        CellLink link = demand.linkOrNull(grant.cell());
        if (link == null || reason == DeclineReason.NOT_THE_ARBITER) {
            return;
        }
        // The arbiter decremented the offer for this grant. Without a new offer the request would wait forever.
        link.recordGrant(grant.sequence());
        demand.granted(link, pool(grant.cell().pool()), grant.customer(), nowMs, sink);
    }

    private void sendDecline(InstanceId from, PeerMessage.Grant grant, DeclineReason reason, ActionSink sink) {
        sink.accept(new Action.SendPeer(from, new PeerMessage.Decline(grant.cell(), grant.sequence(), reason)));
        sink.accept(EntryLog.declined(grant, reason));
    }

    private void reuseSlot(CellLink link, PoolQueues pool, TargetId target, long nowMs, ActionSink sink) {
        boolean usable = !admission.checkTarget(target, nowMs).excludesTarget();
        if (!usable || !registrations.arbiterSilent(link, nowMs)) {
            return;
        }
        CustomerQueue next = pool.backlogged().stream()
                .min(Comparator.comparingLong((CustomerQueue queue) -> link.leadTokens(queue.customer()))
                        .thenComparing(CustomerQueue::customer))
                .orElse(null);
        EntryRequest request = next == null ? null : take(pool, next.customer(), target, nowMs);
        if (request == null) {
            return;
        }
        long charge = Math.round(
                fleet.settings().pools().get(pool.pool()) == null
                        ? 0
                        : fleet.settings().pools().get(pool.pool()).initialEstimateTokens()
                                / fleet.weight(request.spec().customer()));
        link.leadTokens(
                request.spec().customer(), link.leadTokens(request.spec().customer()) + charge);
        link.markHoldingsChanged();
        start(request, target, link.cell(), -request.spec().requestId(), "slot_reuse", nowMs, sink);
    }

    private @Nullable CellLink linkOf(EntryRequest request) {
        CellId cell = request.cell();
        return cell == null ? null : demand.linkOrNull(cell);
    }

    private @Nullable PoolSettings poolSettings(EntryRequest request) {
        return fleet.settings().pools().get(request.spec().pool());
    }

    private PoolQueues pool(PoolId id) {
        return pools.computeIfAbsent(id, missing -> new PoolQueues(missing, self.name()));
    }
}
