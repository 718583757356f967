package org.marjoramswitch.kernel.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.crash.PoisonRequestGossip;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.liveness.SilentPeerDetector;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.DeclineReason;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.placement.RetryAfterPolicy;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * The requests of one instance's own callers: it queues them, binds grants to them, judges how attempts ended and
 * gives each exactly one end.
 *
 * <p>Only the entry starts a request, so whatever arbiters do, a request runs no more often than the entry's own
 * attempts: one at a time, a next one only where the last certainly did not run or the request may be repeated, and
 * none after a part of the answer has reached the caller.
 *
 * <p>"Not run" is said of a request only if no attempt of it may have run: a request whose first attempt broke off and
 * whose second was refused ends as unknown.
 *
 * <p>While a cell's arbiter cannot be reached, or is new and still collects registrations, a request that ends hands
 * its slot to the next request waiting here, in the order of the standings last told. So capacity does not idle
 * through a change of arbiter; the entry registers anew afterwards and the arbiter accounts for it.
 *
 * <p>A request under which several targets have ended is not sent on, whichever instance saw them end ({@link
 * PoisonRequestGossip}); a target that asked this instance for rest is left out until the rest is over ({@link TargetBackoffs}).
 */
public final class Entry {
    private static final long RETRY_AFTER_MS = 1_000;
    /** Another instance can take the request at once. */
    private static final long LEAVING_RETRY_AFTER_MS = 100;

    /** A longer interval between ticks means that the process was paused or had no processor time. */
    private static final long PAUSE_MS = 300;

    private final KernelOptions options;
    private final FleetState plan;
    private final InstanceId self;
    private final DemandPublisher offers;
    private final Map<PoolId, PoolQueues> pools = new TreeMap<>();
    private final Map<Long, EntryRequest> requests = new TreeMap<>();
    private final PriorityQueue<EntryRequest> deadlines = new PriorityQueue<>(
            Comparator.comparingLong((EntryRequest request) -> request.spec().deadlineMs())
                    .thenComparingLong(request -> request.spec().requestId()));
    private final Registrations registrations;
    private final Placements placements;
    private final SilentPeerDetector placementWatch = SilentPeerDetector.create();
    private final PoisonRequestGossip crashes = PoisonRequestGossip.create();
    private final TargetBackoffs rests = new TargetBackoffs();
    private int waitingInAll;
    private boolean draining;
    private long lastTickMs;

    private Entry(InstanceId self, KernelOptions options, FleetState plan) {
        this.self = self;
        this.options = options;
        this.plan = plan;
        this.offers = new DemandPublisher(options, plan);
        this.registrations = new Registrations(self, options, plan, offers, this::pool, requests.values());
        this.placements = new Placements(self, plan, rests);
    }

    public static Entry create(InstanceId self, KernelOptions options, FleetState plan) {
        return new Entry(self, options, plan);
    }

    /** This entry's relation to the arbiters. */
    public Registrations registrations() {
        return registrations;
    }

    /** Requests that have not ended. */
    public int open() {
        return requests.size();
    }

    public int waiting() {
        return waitingInAll;
    }

    /** From now on new requests are refused; those already here go on to their ends. */
    public void drain() {
        draining = true;
    }

    public void arrived(RequestSpec spec, long nowMs, ActionSink sink) {
        PoolSettings settings = plan.settings().pools().get(spec.pool());
        Failure refusal = settings == null
                ? Failure.notRun(ErrorType.UNKNOWN_POOL, 0, spec.pool().name())
                : refusal(spec, nowMs);
        if (refusal != null) {
            refuse(spec, refusal, sink);
            return;
        }
        crashes.records().admitted(spec.digest(), nowMs);
        EntryRequest request = new EntryRequest(spec, nowMs);
        requests.put(spec.requestId(), request);
        deadlines.add(request);
        if (spec.placement() != null) {
            pool(spec.pool()).resends().requested(options.resendLimits(), nowMs);
        }
        enqueue(request, nowMs, sink);
    }

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

    /** The first byte of the running attempt's answer is there. */
    public void responseStarted(long requestId, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        if (request != null && request.target() != null) {
            placements.answering(request, sink);
        }
    }

    /** An arbiter found a target for a request. */
    public void placed(InstanceId from, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        EntryRequest request = placements.placed(from, placed, nowMs, sink);
        if (request == null) {
            return;
        }
        boolean usable = mayStartAt(placed.target());
        if (usable && !rests.isResting(placed.target(), nowMs)) {
            waitingInAll--;
            request.fetchFrom(usableSource(placed.fetchFrom()));
            start(request, placed.target(), placed.cell(), placed.ask(), "placed", nowMs, sink);
            return;
        }
        // The arbiter does not know yet that the target is gone, leaving or resting; it is asked to leave that one out.
        boolean nothingElse = usable && placements.leftOut(request, placed.target());
        placements.ended(request, PlacementEnd.NOT_RUN, sink);
        if (nothingElse) {
            // Asked again it would offer the same, and the two would go back and forth until the rest is over.
            refuseForRest(request, rests.leftMs(List.of(placed.target()), nowMs), sink);
            return;
        }
        if (!usable) {
            request.failedAtUnused(placed.target());
        }
        askAgain(request, nowMs, sink);
    }

    /**
     * A source that is gone would not answer, or its address may be another service's by now; without one the target
     * reads the prompt itself.
     */
    private @Nullable TargetId usableSource(@Nullable TargetId source) {
        return source != null && mayStartAt(source) ? source : null;
    }

    /** An arbiter found no target that could serve a request in a useful time. */
    public void notPlaced(InstanceId from, PeerMessage.NotPlaced refused, long nowMs, ActionSink sink) {
        EntryRequest request = placements.notPlaced(from, refused, nowMs, sink);
        if (request == null) {
            return;
        }
        waitingInAll--;
        // Under these two names the arbiter's log tells why.
        String question = refused.cell() + "#" + refused.ask();
        fail(request, ErrorType.NO_TARGET_IN_TIME, refused.retryAfterMs(), question, sink);
    }

    /** Arbiters, cells or links may have changed. */
    public void fleetChanged(long nowMs, ActionSink sink) {
        registrations.fleetChanged(nowMs, sink);
        placements.follow(nowMs, sink);
    }

    /** A new link to a peer came up. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        registrations.connected(peer, nowMs, sink);
        placements.connected(peer, nowMs, sink);
        crashes.connected(peer, nowMs, sink);
    }

    /** A target turned a request away and wants nothing from here for a while. */
    public void backoffRequested(TargetId target, long restMs, long nowMs, ActionSink sink) {
        if (rests.add(target, nowMs + restMs, nowMs)) {
            sink.accept(new Action.Decided(Decision.of("target_rests", "target", target, "restMs", restMs)));
        }
    }

    /** A peer saw targets end under requests, or such requests served. */
    public void crashesReported(PeerMessage.CrashNews news, long nowMs, ActionSink sink) {
        crashes.received(news, nowMs).forEach(digest -> refuseBlocked(digest, nowMs, sink));
    }

    /** Something came from a peer. */
    public void messageReceived(InstanceId peer, long nowMs, ActionSink sink) {
        placementWatch.messageReceived(peer, nowMs);
        registrations.messageReceived(peer, nowMs, sink);
    }

    public void delivered(long requestId, long outputTokens, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        PoolSettings pool = request == null ? null : poolSettings(request);
        if (request == null || pool == null || request.target() == null) {
            return;
        }
        request.costTokens(CostModel.running(pool, request.spec(), outputTokens));
        CellLink link = linkOf(request);
        if (link == null || request.costTokens() - request.toldTokens() < options.progressStepTokens()) {
            return;
        }
        request.told();
        offers.send(link, new PeerMessage.Progress(link.cell(), request.sequence(), request.costTokens()), sink);
    }

    public void attemptEnded(long requestId, TargetOutcome outcome, Usage usage, long nowMs, ActionSink sink) {
        EntryRequest request = requests.get(requestId);
        TargetId target = request == null ? null : request.target();
        if (request == null || target == null) {
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        CellLink link = linkOf(request);
        settle(request, outcome, usage, link, sink);
        placements.ended(request, AttemptRules.placementEnd(outcome), sink);
        if (!outcome.notRun()) {
            request.markMayHaveRun();
        }
        noteCrash(request.spec().digest(), target, outcome, nowMs, sink);
        conclude(request, outcome, pool, nowMs, sink);
        if (link != null && !outcome.targetFault()) {
            reuseSlot(link, pool, target, nowMs, sink);
        }
    }

    /** A grant came from {@code from}. */
    public void granted(InstanceId from, PeerMessage.Grant grant, long nowMs, ActionSink sink) {
        CellLink link = offers.linkOrNull(grant.cell());
        DeclineReason reason = reasonToDecline(from, grant, link);
        if (link == null || reason != null) {
            decline(from, grant, reason == null ? DeclineReason.NOT_THE_ARBITER : reason, nowMs, sink);
            return;
        }
        link.granted(grant.sequence());
        link.aheadTokens(grant.customer(), grant.aheadTokens());
        PoolQueues pool = pool(grant.cell().pool());
        EntryRequest request = take(pool, grant.customer(), grant.target());
        offers.granted(link, pool, grant.customer(), nowMs, sink);
        if (request == null) {
            sendDecline(from, grant, DeclineReason.NOTHING_WAITING, sink);
            return;
        }
        start(request, grant.target(), grant.cell(), grant.sequence(), "grant", nowMs, sink);
    }

    public void prefixCached(TargetId target, long prefixHash, boolean present) {
        CellId cell = plan.cells().cellOf(target);
        if (cell == null) {
            return;
        }
        PrefixDirectory prefixes = pool(cell.pool()).prefixes();
        if (present) {
            prefixes.note(target, prefixHash);
            return;
        }
        prefixes.forget(target, prefixHash);
    }

    public void tick(long nowMs, ActionSink sink) {
        if (nowMs - lastTickMs >= PAUSE_MS) {
            placements.resumed(nowMs);
        }
        lastTickMs = nowMs;
        expire(nowMs, sink);
        registrations.tick(nowMs, sink);
        watchPlacementArbiters(nowMs, sink);
        refuseOverdue(nowMs, sink);
        tellCrashes(sink);
        placements.follow(nowMs, sink);
        if (rests.expire(nowMs)) {
            placements.restEnded(nowMs, sink);
        }
        pools.values().forEach(pool -> offers.spill(pool, nowMs, sink));
    }

    /** Requests would wait for a paused or cut-off arbiter beside idle targets; the next one in rank is asked then. */
    private void watchPlacementArbiters(long nowMs, ActionSink sink) {
        Set<InstanceId> awaited = placements.awaited();
        awaited.removeAll(plan.unreachable());
        for (InstanceId silent : placementWatch.silentPeers(awaited, nowMs, peer -> registrations.probe(peer, sink))) {
            plan.reachable(silent, false);
            placements.silent(silent, nowMs, sink);
        }
    }

    /** Refuses requests that their arbiter has left unanswered, instead of holding them until their deadlines. */
    private void refuseOverdue(long nowMs, ActionSink sink) {
        for (EntryRequest request : placements.takeOverdue(nowMs, sink)) {
            waitingInAll--;
            RequestSpec spec = request.spec();
            long retryAfterMs = RetryAfterPolicy.spreadAfterMs(spec.deadlineMs(), spec.requestId(), nowMs);
            fail(request, ErrorType.NO_TARGET_IN_TIME, retryAfterMs, "no answer of the arbiter", sink);
        }
    }

    private void tellCrashes(ActionSink sink) {
        if (!crashes.hasNews()) {
            return;
        }
        Set<InstanceId> peers = new TreeSet<>(plan.view().members().keySet());
        peers.remove(self);
        crashes.tell(peers, sink);
    }

    /** A target that answered whole has outlived the request; one that broke off may have ended under it. */
    private void noteCrash(long digest, TargetId target, TargetOutcome outcome, long nowMs, ActionSink sink) {
        if (outcome == TargetOutcome.COMPLETED || outcome == TargetOutcome.SERVER_ERROR) {
            crashes.served(digest);
            return;
        }
        if (digest == 0 || !outcome.brokeOff()) {
            return;
        }
        if (!crashes.crashed(new PeerMessage.RequestCrash(digest, target, 0), nowMs)) {
            return;
        }
        if (crashes.records().blockedForMs(digest, nowMs) > 0) {
            sink.accept(new Action.KeepCrashes(digest, crashes.records().of(digest, nowMs)));
        }
        refuseBlocked(digest, nowMs, sink);
    }

    /**
     * Requests that ended several targets would end the next one, with all that runs there, so those that wait are told
     * at once that they are not run.
     */
    private void refuseBlocked(long digest, long nowMs, ActionSink sink) {
        long blockedForMs = crashes.records().blockedForMs(digest, nowMs);
        if (blockedForMs == 0) {
            return;
        }
        sink.accept(new Action.Decided(Decision.of(
                "request_blocked",
                "digest",
                Long.toHexString(digest),
                "endedTargets",
                crashes.records().ends(digest),
                "blockedForMs",
                blockedForMs)));
        for (EntryRequest request : List.copyOf(requests.values())) {
            if (request.spec().digest() == digest && request.target() == null) {
                dequeue(request, sink);
                fail(request, ErrorType.REQUEST_BLOCKED, blockedForMs, Long.toHexString(digest), sink);
            }
        }
    }

    private boolean mayStartAt(TargetId target) {
        return plan.settings().targets().containsKey(target)
                && !plan.leavingTargets().contains(target);
    }

    private void askAgain(EntryRequest request, long nowMs, ActionSink sink) {
        long restLeftMs = placements.restLeftMs(request, nowMs);
        if (restLeftMs > 0) {
            refuseForRest(request, restLeftMs, sink);
            return;
        }
        if (!placements.ask(request, nowMs, sink)) {
            waitingInAll--;
            fail(request, ErrorType.NO_TARGET_IN_TIME, RETRY_AFTER_MS, "", sink);
        }
    }

    /** No target wants the request for a while; its caller is of more use elsewhere than waiting here. */
    private void refuseForRest(EntryRequest request, long restLeftMs, ActionSink sink) {
        waitingInAll--;
        fail(request, ErrorType.TARGETS_REST, restLeftMs, request.spec().pool().name(), sink);
    }

    private @Nullable Failure refusal(RequestSpec spec, long nowMs) {
        long blockedForMs = crashes.records().blockedForMs(spec.digest(), nowMs);
        if (blockedForMs > 0) {
            return Failure.notRun(ErrorType.REQUEST_BLOCKED, blockedForMs, Long.toHexString(spec.digest()));
        }
        if (draining) {
            return Failure.notRun(ErrorType.INSTANCE_LEAVING, LEAVING_RETRY_AFTER_MS, self.name());
        }
        if (waitingInAll >= options.maxWaiting()) {
            return Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, RETRY_AFTER_MS, self.name());
        }
        CustomerSettings customer = plan.settings().customers().get(spec.customer());
        PoolQueues pool = pool(spec.pool());
        int queued = pool.size(spec.customer());
        if (customer != null && queued >= customer.maxQueued()) {
            long retryAfterMs = pool.rate(spec.customer()).retryAfterMs(queued);
            return Failure.notRun(ErrorType.CUSTOMER_QUEUE_FULL, retryAfterMs, Integer.toString(queued));
        }
        return null;
    }

    private void refuse(RequestSpec spec, Failure refusal, ActionSink sink) {
        sink.accept(new Action.Fail(spec.requestId(), refusal));
        sink.accept(new Action.Decided(Decision.of(
                "refuse",
                "request",
                spec.requestId(),
                "customer",
                spec.customer(),
                "pool",
                spec.pool(),
                "reason",
                refusal.type(),
                "retryAfterMs",
                refusal.retryAfterMs())));
    }

    private void enqueue(EntryRequest request, long nowMs, ActionSink sink) {
        if (request.spec().placement() != null) {
            waitingInAll++;
            askAgain(request, nowMs, sink);
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        CustomerQueue queue = pool.add(request);
        waitingInAll++;
        offers.arrived(pool, queue, request, nowMs, sink);
    }

    private void dequeue(EntryRequest request, ActionSink sink) {
        if (request.spec().placement() != null) {
            waitingInAll--;
            placements.withdraw(request, sink);
            return;
        }
        PoolQueues pool = pool(request.spec().pool());
        pool.remove(request);
        waitingInAll--;
        if (pool.queue(request.spec().customer()) == null) {
            offers.withdraw(pool.pool(), request.spec().customer(), sink);
        }
    }

    private @Nullable EntryRequest take(PoolQueues pool, CustomerId customer, TargetId target) {
        CustomerQueue queue = pool.queue(customer);
        if (queue == null) {
            return null;
        }
        EntryRequest request = queue.take(target, pool.prefixes());
        pool.dropIfEmpty(queue);
        if (request != null) {
            waitingInAll--;
        }
        return request;
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
        request.started(target, cell, sequence);
        pool.prefixes().note(target, spec.prefixHash());
        pool.rate(spec.customer()).started(nowMs);
        sink.accept(new Action.Dispatch(spec.requestId(), target, request.attempts(), request.fetchFrom()));
        sink.accept(new Action.Decided(Decision.of(
                "dispatch",
                "request",
                spec.requestId(),
                "customer",
                spec.customer(),
                "cell",
                cell,
                "target",
                target,
                "attempt",
                request.attempts(),
                "sequence",
                sequence,
                "reason",
                reason,
                "prefixHeld",
                prefixHeld,
                "fetchFrom",
                request.fetchFrom() == null ? "-" : request.fetchFrom(),
                "waitedMs",
                nowMs - request.arrivedAtMs())));
    }

    private void settle(
            EntryRequest request, TargetOutcome outcome, Usage usage, @Nullable CellLink link, ActionSink sink) {
        PoolSettings pool = poolSettings(request);
        long reported = pool == null || outcome.notRun() ? 0 : CostModel.settled(pool, usage);
        // An attempt that broke off reports no usage; what it had delivered was served all the same.
        request.costTokens(outcome.notRun() ? 0 : Math.max(reported, outcomeFloor(request, outcome)));
        if (link == null) {
            return;
        }
        offers.send(
                link,
                new PeerMessage.Ended(link.cell(), request.sequence(), request.costTokens(), outcome.targetFault()),
                sink);
    }

    private static long outcomeFloor(EntryRequest request, TargetOutcome outcome) {
        return outcome == TargetOutcome.COMPLETED ? 0 : request.costTokens();
    }

    private void conclude(EntryRequest request, TargetOutcome outcome, PoolQueues pool, long nowMs, ActionSink sink) {
        if (outcome == TargetOutcome.COMPLETED) {
            PoolSettings settings = poolSettings(request);
            pool.retries().succeeded(settings == null ? 0 : settings.retryShare());
            complete(request, sink);
            return;
        }
        if (outcome == TargetOutcome.CANCELLED || request.callerGone()) {
            fail(request, ErrorType.CALLER_GONE, 0, "", sink);
            return;
        }
        boolean blocked = crashes.records().blockedForMs(request.spec().digest(), nowMs) > 0;
        boolean mayRetry = !blocked && AttemptRules.mayRetry(request, outcome, nowMs);
        if (mayRetry && takeRetry(request, pool, nowMs)) {
            request.failed();
            enqueue(request, nowMs, sink);
            return;
        }
        if (outcome == TargetOutcome.SERVER_ERROR) {
            // The target's own answer tells the caller more than a failure of ours would.
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
        requests.remove(request.spec().requestId());
        deadlines.remove(request);
        sink.accept(new Action.Complete(request.spec().requestId()));
    }

    private boolean takeRetry(EntryRequest request, PoolQueues pool, long nowMs) {
        if (request.spec().placement() == null) {
            return pool.retries().take();
        }
        int instances = plan.view().members().size();
        return pool.resends().take(options.resendLimits(), instances, nowMs);
    }

    private void fail(EntryRequest request, ErrorType type, long retryAfterMs, String detail, ActionSink sink) {
        requests.remove(request.spec().requestId());
        deadlines.remove(request);
        RunState run = request.mayHaveRun() ? RunState.UNKNOWN : RunState.NOT_RUN;
        sink.accept(new Action.Fail(request.spec().requestId(), new Failure(type, run, retryAfterMs, detail)));
    }

    private void expire(long nowMs, ActionSink sink) {
        while (!deadlines.isEmpty() && deadlines.peek().spec().deadlineMs() <= nowMs) {
            EntryRequest request = deadlines.poll();
            if (!requests.containsKey(request.spec().requestId())) {
                continue;
            }
            if (request.target() != null) {
                endInTime(request, sink);
                continue;
            }
            long retryAfterMs = pool(request.spec().pool())
                    .rate(request.spec().customer())
                    .retryAfterMs(
                            pool(request.spec().pool()).size(request.spec().customer()));
            dequeue(request, sink);
            fail(request, ErrorType.WAIT_TIMEOUT, retryAfterMs, "", sink);
        }
    }

    /** A placed request's caller waits for nothing beyond the deadline; the target is to work for it no longer. */
    private void endInTime(EntryRequest request, ActionSink sink) {
        TargetId target = request.target();
        if (request.spec().placement() == null || target == null) {
            return;
        }
        sink.accept(new Action.CancelAttempt(request.spec().requestId(), target));
        placements.ended(request, PlacementEnd.GIVEN_UP, sink);
        request.markMayHaveRun();
        fail(request, ErrorType.REQUEST_TIMEOUT, 0, target.name(), sink);
    }

    private @Nullable DeclineReason reasonToDecline(InstanceId from, PeerMessage.Grant grant, @Nullable CellLink link) {
        if (link == null || !from.equals(link.arbiter()) || link.behindBarrier()) {
            return DeclineReason.NOT_THE_ARBITER;
        }
        if (!plan.settings().targets().containsKey(grant.target())) {
            return DeclineReason.TARGET_UNKNOWN;
        }
        // The arbiter may not have heard yet that the target is leaving; whoever knows first keeps work from it.
        return plan.leavingTargets().contains(grant.target()) ? DeclineReason.TARGET_LEAVING : null;
    }

    private void decline(InstanceId from, PeerMessage.Grant grant, DeclineReason reason, long nowMs, ActionSink sink) {
        sendDecline(from, grant, reason, sink);
        CellLink link = offers.linkOrNull(grant.cell());
        if (link == null || reason == DeclineReason.NOT_THE_ARBITER) {
            return;
        }
        // The arbiter counted the offer down for this grant. Without a new offer the request would wait for good.
        link.granted(grant.sequence());
        offers.granted(link, pool(grant.cell().pool()), grant.customer(), nowMs, sink);
    }

    private void sendDecline(InstanceId from, PeerMessage.Grant grant, DeclineReason reason, ActionSink sink) {
        sink.accept(new Action.SendPeer(from, new PeerMessage.Decline(grant.cell(), grant.sequence(), reason)));
        sink.accept(new Action.Decided(Decision.of(
                "decline",
                "cell",
                grant.cell(),
                "sequence",
                grant.sequence(),
                "customer",
                grant.customer(),
                "target",
                grant.target(),
                "reason",
                reason)));
    }

    private void reuseSlot(CellLink link, PoolQueues pool, TargetId target, long nowMs, ActionSink sink) {
        if (!registrations.arbiterSilent(link, nowMs) || plan.leavingTargets().contains(target)) {
            return;
        }
        CustomerQueue next = pool.backlogged().stream()
                .min(Comparator.comparingLong((CustomerQueue queue) -> link.aheadTokens(queue.customer()))
                        .thenComparing(CustomerQueue::customer))
                .orElse(null);
        EntryRequest request = next == null ? null : take(pool, next.customer(), target);
        if (request == null) {
            return;
        }
        long charge = Math.round(
                plan.settings().pools().get(pool.pool()) == null
                        ? 0
                        : plan.settings().pools().get(pool.pool()).initialEstimateTokens()
                                / plan.weight(request.spec().customer()));
        link.aheadTokens(
                request.spec().customer(), link.aheadTokens(request.spec().customer()) + charge);
        link.markHoldingsChanged();
        start(request, target, link.cell(), -request.spec().requestId(), "slot_reuse", nowMs, sink);
    }

    private @Nullable CellLink linkOf(EntryRequest request) {
        CellId cell = request.cell();
        return cell == null ? null : offers.linkOrNull(cell);
    }

    private @Nullable PoolSettings poolSettings(EntryRequest request) {
        return plan.settings().pools().get(request.spec().pool());
    }

    private PoolQueues pool(PoolId id) {
        return pools.computeIfAbsent(id, missing -> new PoolQueues(missing, self.name()));
    }
}
