package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.fair.CustomerAccount;
import org.marjoramswitch.kernel.fair.FairShares;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Decides which request of a cell goes to which target, and when.
 *
 * <p>Engines admit requests in order of arrival, so requests are queued here, where they can be ordered, and an engine gets
 * only as many as keep it busy. A pass visits the customers with waiting requests in order of their virtual counters
 * ({@link FairShares}), the lowest first, and starts each one's most urgent request for which {@link TargetChoice} finds a
 * target. Customers with high demand therefore wait behind those with low demand, and no target is kept idle.
 *
 * <p>A request that finds no target is not tried again in the same pass. Between passes only new requests are tried, at
 * targets that the last pass left free. The queue is thus scanned a bounded number of times per second, whatever the number
 * of requests and events.
 *
 * <p>A request is late once its first byte can no longer meet its objective. Late requests use only capacity that the others
 * leave, are held for a bounded time ({@link LateHold}), and are then rejected with a retry delay.
 *
 * <p>All state is soft. Requests carry an id chosen by the entry, which re-registers its running requests after switching
 * arbiters. Two arbiters of one cell, on the two sides of a partition, may overload targets for a while, but no request is
 * started twice because its entry accepts only one answer.
 *
 * <p>Cost: a pass is linear in the targets and in the customers waiting, with a bounded number of requests each; between
 * passes an event costs one choice. Not thread-safe.
 */
public final class PlacementArbiter {
    /** Maximum requests examined per customer in one pass. */
    private static final int LOOKAHEAD = 8;
    /** Late requests held per slot: at most about one second of the cell's throughput. */
    private static final double LATE_PER_SLOT = 0.25;
    /** Three in four first bytes arrive within this multiple of the prediction. */
    private static final double PREDICTION_MARGIN = 1.3;
    /** Shorter than {@link TargetChoice#DEPTH_MS}, so that no engine runs dry between passes. */
    private static final long PASS_MS = 4;
    /** Up to this many waiting requests every event triggers a pass, so that a freed target is used at once. */
    private static final int FEW_WAITING = 16;

    private static final double INITIAL_SERVICE_MS = 50;
    private static final double SERVICE_GAIN = 0.05;

    private final CellId cell;
    private final PlacementPolicy policy;
    private final FairShares shares;
    private final FirstByteModel model = new FirstByteModel();
    private final WaitingQueues waiting = new WaitingQueues();
    private final SizeBalance sizes = new SizeBalance();
    private final EvenShare evenShare = new EvenShare();
    private final TargetPool targets = TargetPool.create();
    private final Map<InstanceId, Map<Long, RunningRequest>> running = new HashMap<>();
    /** Requests received since the last pass. */
    private final List<WaitingRequest> arrived = new ArrayList<>();

    private @Nullable TargetChoice lastPass;
    private double meanServiceMs = INITIAL_SERVICE_MS;
    private long arrivals;
    private long choices;

    private PlacementArbiter(
            CellId cell, PoolSettings pool, ToDoubleFunction<CustomerId> weights, PlacementPolicy policy) {
        this.cell = cell;
        this.policy = policy;
        this.shares = FairShares.create(weights, pool.initialEstimateTokens());
        this.shares.endAdoption();
    }

    public static PlacementArbiter create(CellId cell, PoolSettings pool, ToDoubleFunction<CustomerId> weights) {
        return create(cell, pool, weights, PlacementPolicy.full());
    }

    public static PlacementArbiter create(
            CellId cell, PoolSettings pool, ToDoubleFunction<CustomerId> weights, PlacementPolicy policy) {
        return new PlacementArbiter(cell, pool, weights, policy);
    }

    public CellId cell() {
        return cell;
    }

    /** Sets the targets that may be given work. */
    public void targets(Collection<TargetSettings> settings, Set<TargetId> leaving) {
        targets.targets(settings, leaving);
        lastPass = null;
    }

    /** A request of an entry waits for a target. */
    public void place(InstanceId entry, PeerMessage.Place asked, long nowMs) {
        if (running.getOrDefault(entry, Map.of()).containsKey(asked.ask())) {
            return;
        }
        forgetWaiting(entry, asked.ask());
        add(WaitingRequest.of(entry, asked, arrivals++, nowMs), nowMs);
    }

    /** Whether any request waits for a target. */
    public boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** A request waits no longer. */
    public void withdrawn(InstanceId entry, long ask) {
        forgetWaiting(entry, ask);
    }

    /** The first byte of a request's answer is there. */
    public void answering(InstanceId entry, long ask, long nowMs) {
        RunningRequest request = running.getOrDefault(entry, Map.of()).get(ask);
        if (request == null || request.answering()) {
            return;
        }
        ofEntry(entry).put(ask, request.nowAnswering());
        TargetLoad target = targetOf(request);
        if (target != null) {
            target.read(request.prompt(), request.readingTokens(), nowMs);
        }
        if (request.tokensAhead() > 0) {
            model.observe(request.tokensAhead(), nowMs - request.startedAtMs());
        }
    }

    /** A request has ended at its target. */
    public void ended(InstanceId entry, PeerMessage.PlacementEnded ended, long nowMs) {
        RunningRequest request = ofEntry(entry).remove(ended.ask());
        if (request == null) {
            return;
        }
        release(request, nowMs);
        settle(request, ended, nowMs);
    }

    /** Takes over an entry's running requests. */
    public void held(InstanceId entry, PeerMessage.PlacementsHeld message, long nowMs) {
        for (PeerMessage.HeldPlacement held : message.held()) {
            TargetLoad target = targets.get(held.target());
            boolean known = ofEntry(entry).containsKey(held.ask());
            if (target == null || known) {
                continue;
            }
            RunningRequest request = RunningRequest.takenOver(held, target, nowMs);
            ofEntry(entry).put(held.ask(), request);
            target.held(request.readingTokens(), request.memoryTokens(), held.answering(), nowMs);
        }
    }

    /** The entry is gone or unreachable; if it is alive it asks again. */
    public void forget(InstanceId entry, long nowMs) {
        waiting.removeAll(entry).forEach(request -> showWaiting(request.customer()));
        Map<Long, RunningRequest> held = running.remove(entry);
        if (held != null) {
            held.values().forEach(request -> release(request, nowMs));
        }
    }

    /** Target choices made so far, which the arbiter's cost is proportional to. */
    long choices() {
        return choices;
    }

    /** Starts the requests that can be started and rejects those that have become useless. */
    public void decide(long nowMs, ActionSink sink) {
        noteLate(nowMs);
        if (!waiting.isEmpty()) {
            place(nowMs, sink);
        }
        refuseOver(nowMs, sink);
    }

    private void place(long nowMs, ActionSink sink) {
        TargetChoice choice = lastPass;
        boolean few = waiting.inTimeCount() + waiting.lateCount() <= FEW_WAITING;
        if (choice == null || few || nowMs - choice.atMs() >= PASS_MS) {
            choice = TargetChoice.at(policy, model, meanServiceMs, targets, nowMs);
            lastPass = choice;
            placeInTime(choice, nowMs, sink);
        } else {
            placeArrived(choice, nowMs, sink);
        }
        arrived.clear();
        placeLate(choice, nowMs, sink);
    }

    private void add(WaitingRequest asked, long nowMs) {
        long readingTokens = targets.holders().leastUncachedTokens(asked.prompt());
        double firstByteMs = PREDICTION_MARGIN * (TargetChoice.DEPTH_MS / 2 + model.expectedMs(readingTokens));
        SizeClass size = SizeClass.of(asked.objectiveAtMs() - nowMs, firstByteMs);
        WaitingRequest request = asked.assessed(size, readingTokens);
        long lateAtMs = request.objectiveAtMs() - Math.round(firstByteMs);
        if (size == SizeClass.LARGE && policy.has(Mechanism.SIZE_BALANCE) && sizes.favoursLarge()) {
            long waitingMs = SizeClass.usualWaitMs(request.objectiveAtMs() - nowMs);
            lateAtMs = Math.max(lateAtMs, nowMs + waitingMs);
        }
        if (lateAtMs <= nowMs) {
            addLate(request, nowMs);
            return;
        }
        waiting.addInTime(request, lateAtMs);
        if (policy.has(Mechanism.EVEN_SHARE)) {
            shares.credit(evenShare.tokens(nowMs));
        }
        showWaiting(request.customer());
        arrived.add(request);
        if (policy.has(Mechanism.EARLY_REFUSAL) && model.isProven() && nowMs + turnAfterMs(request) > lateAtMs) {
            forgetWaiting(request.entry(), request.ask());
            addLate(request, nowMs);
        }
    }

    private double turnAfterMs(WaitingRequest request) {
        int sound = lastPass == null ? targets.size() : lastPass.soundTargets();
        return TurnEstimate.waitMs(request, waiting, shares, model.msPerToken(), sound);
    }

    private void addLate(WaitingRequest request, long nowMs) {
        long holdMs = LateHold.holdMs(request.endAtMs(), nowMs);
        boolean worthHolding = policy.has(Mechanism.LATE_HOLDING)
                && waiting.inTimeCount() == 0
                && waiting.lateCount() < mostLate()
                && hasSpare();
        waiting.addLate(request, worthHolding ? nowMs + holdMs : nowMs);
    }

    /** Whether any target has capacity for late requests; otherwise holding one only delays its rejection. */
    private boolean hasSpare() {
        return targets.all().stream().anyMatch(target -> target.load() <= TargetChoice.SPARE_LOAD);
    }

    private double mostLate() {
        return LATE_PER_SLOT * targets.slots();
    }

    /** Moves requests that can no longer be in time to the late ones. */
    private void noteLate(long nowMs) {
        for (WaitingRequest next = waiting.nextLate(nowMs); next != null; next = waiting.nextLate(nowMs)) {
            forgetWaiting(next.entry(), next.ask());
            addLate(next, nowMs);
        }
    }

    private void refuseOver(long nowMs, ActionSink sink) {
        for (WaitingRequest over = waiting.nextOver(nowMs); over != null; over = waiting.nextOver(nowMs)) {
            waiting.remove(over.entry(), over.ask());
            refuse(over, nowMs, sink);
        }
    }

    private void refuse(WaitingRequest request, long nowMs, ActionSink sink) {
        sizes.ended(request.size(), false);
        sink.accept(new Action.SendPeer(
                request.entry(),
                new PeerMessage.NotPlaced(
                        cell,
                        request.ask(),
                        RetryTimes.afterMs(request, policy, nowMs),
                        nowMs - request.arrivedAtMs())));
        sink.accept(PlacementLog.notPlaced(cell, request, waiting, targets.size(), nowMs));
    }

    private void placeInTime(TargetChoice choice, long nowMs, ActionSink sink) {
        Set<CustomerId> triedOut = new HashSet<>();
        Set<Long> tried = new HashSet<>();
        CustomerAccount next = leastOf(triedOut);
        while (next != null && choice.hasOpen()) {
            if (!placeNextOf(next.customer(), choice, tried, nowMs, sink)) {
                triedOut.add(next.customer());
            }
            next = leastOf(triedOut);
        }
    }

    private @Nullable CustomerAccount leastOf(Set<CustomerId> triedOut) {
        for (CustomerAccount account : shares.backloggedInOrder()) {
            if (!triedOut.contains(account.customer())) {
                return account;
            }
        }
        return null;
    }

    /**
     * Starts the customer's most pressing request that there is a target for.
     *
     * @param tried the requests, by their arrival, that found none in this pass
     */
    private boolean placeNextOf(
            CustomerId customer, TargetChoice choice, Set<Long> tried, long nowMs, ActionSink sink) {
        int seen = 0;
        for (WaitingRequest request : waiting.of(customer).requests()) {
            TargetChoice.Chosen chosen = tried.add(request.arrival()) ? inTime(request, choice) : null;
            if (chosen != null) {
                start(request, choice, chosen, "in_time", nowMs, sink);
                return true;
            }
            seen++;
            if (seen == LOOKAHEAD) {
                return false;
            }
        }
        return false;
    }

    /** Tries only new requests; the others found no target in the last pass. */
    private void placeArrived(TargetChoice choice, long nowMs, ActionSink sink) {
        for (WaitingRequest request : arrived) {
            TargetChoice.Chosen chosen = waiting.isInTime(request) ? inTime(request, choice) : null;
            if (chosen != null) {
                start(request, choice, chosen, "in_time", nowMs, sink);
            }
        }
    }

    private TargetChoice.@Nullable Chosen inTime(WaitingRequest request, TargetChoice choice) {
        choices++;
        return choice.inTime(request);
    }

    private void placeLate(TargetChoice choice, long nowMs, ActionSink sink) {
        for (WaitingRequest request : waiting.firstLate(LOOKAHEAD)) {
            if (waiting.inTimeCount() > 0) {
                return;
            }
            TargetChoice.Chosen chosen = choice.late(request);
            if (chosen != null) {
                start(request, choice, chosen, "late", nowMs, sink);
            }
        }
    }

    private void start(
            WaitingRequest request,
            TargetChoice choice,
            TargetChoice.Chosen chosen,
            String reason,
            long nowMs,
            ActionSink sink) {
        TargetLoad target = chosen.target();
        double unreadTokens = target.unreadTokens(nowMs, model);
        forgetWaiting(request.entry(), request.ask());
        sizes.ended(request.size(), true);
        target.started(request.prompt(), chosen.readingTokens(), request.memoryTokens(), nowMs);
        choice.started(target);
        shares.charge(request.customer(), request.costTokens());
        evenShare.charged(request.customer(), request.costTokens(), nowMs);
        double tokensAhead = request.prompt().isEmpty() ? 0 : unreadTokens + chosen.readingTokens();
        ofEntry(request.entry()).put(request.ask(), RunningRequest.placed(request, chosen, tokensAhead, nowMs));
        sink.accept(new Action.SendPeer(
                request.entry(),
                new PeerMessage.Placed(
                        cell,
                        request.ask(),
                        target.settings().id(),
                        chosen.fetchFrom(),
                        nowMs - request.arrivedAtMs())));
        sink.accept(PlacementLog.placed(cell, request, chosen, reason, tokensAhead, model, waiting, nowMs));
    }

    private void release(RunningRequest request, long nowMs) {
        TargetLoad target = targetOf(request);
        if (target == null) {
            return;
        }
        target.ended(request.memoryTokens(), nowMs);
        if (!request.answering()) {
            target.notRead(request.prompt(), request.readingTokens(), nowMs);
        }
    }

    /** Null where the target is gone, or has started again and knows nothing of the request. */
    private @Nullable TargetLoad targetOf(RunningRequest request) {
        return targets.get(request.target(), request.targetStartedAtMs());
    }

    private void settle(RunningRequest request, PeerMessage.PlacementEnded ended, long nowMs) {
        boolean ran = ended.end() != PlacementEnd.NOT_RUN && ended.end() != PlacementEnd.REFUSED;
        long spent = ran ? WaitingRequest.cost(request.promptTokens(), ended.outputTokens()) : 0;
        shares.charge(request.customer(), spent - request.costTokens());
        TargetLoad target = targetOf(request);
        if (target == null) {
            return;
        }
        if (ended.end() == PlacementEnd.FAILED || ended.end() == PlacementEnd.REFUSED) {
            // A target that refuses at once frees its slots soonest, and would draw the whole queue through itself.
            if (policy.has(Mechanism.OUTLIER_EJECTION)) {
                target.health().failed(nowMs);
            }
        } else if (ended.end() == PlacementEnd.SERVED) {
            long tookMs = nowMs - request.startedAtMs();
            target.health().succeeded();
            target.served(tookMs, meanServiceMs, nowMs);
            meanServiceMs += SERVICE_GAIN * (tookMs - meanServiceMs);
        }
    }

    private void forgetWaiting(InstanceId entry, long ask) {
        WaitingRequest request = waiting.remove(entry, ask);
        if (request != null) {
            showWaiting(request.customer());
        }
    }

    private void showWaiting(CustomerId customer) {
        shares.waiting(customer, waiting.of(customer).size());
    }

    private Map<Long, RunningRequest> ofEntry(InstanceId entry) {
        return running.computeIfAbsent(entry, missing -> new LinkedHashMap<>());
    }
}
