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
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Decides which request of a cell goes to which target, and when.
 *
 * <p>Engines admit requests in order of arrival, so requests are queued here, where they can be ordered, and an engine
 * is sent only as many as keep it busy. A pass visits the customers with waiting requests in order of their virtual
 * counters ({@link FairShares}), the lowest first, and starts each one's most urgent request for which
 * {@link TargetChoice} finds a target. Customers with high demand therefore wait behind those with low demand, and no
 * target is kept idle.
 *
 * <p>A request that finds no target is not examined again in the same pass. Between passes only new requests are
 * examined, for targets that the last pass left free. The queue is thus scanned a bounded number of times per second,
 * whatever the number of requests and events.
 *
 * <p>A request is late once its first byte can no longer meet its objective, which a large one is on arrival. Late requests
 * use only capacity that the others leave, are held for a bounded time ({@link LateRequestHold}), or for one pass while others
 * wait, and are then rejected with a retry delay. Those of
 * a customer that is served much less than another one take their turn among the requests in time.
 *
 * <p>All state is soft. Requests carry an id chosen by the entry instance, which re-registers its running requests
 * after switching arbiters. Two arbiters of one cell, on the two sides of a partition, may overload targets for a
 * while, but no request is started twice because its entry instance accepts only one response.
 *
 * <p>Cost: a pass is linear in the targets and in the customers waiting, with a bounded number of requests each;
 * between passes an event costs one choice. Not thread-safe.
 */
public final class PlacementArbiter {
    /** Maximum requests examined per customer in one pass. */
    private static final int LOOKAHEAD = 8;
    /** Late requests held per slot: at most about one second of the cell's throughput. */
    private static final double MAX_LATE_PER_SLOT = 0.25;
    /**
     * Share of the targets that must be able to take a request and have spare capacity for late requests to be served while
     * others wait in time. Those wait for a target that has their prompt cached, and the next ones need free targets.
     */
    private static final double MIN_SPARE_SHARE = 0.25;
    /** Requests waiting in time, relative to the targets, above which the pool may be overloaded. */
    private static final double MAX_WAITING_SHARE = 0.25;
    /** 75th percentile of the time to first byte, relative to its prediction. */
    private static final double FIRST_BYTE_P75_FACTOR = 1.3;
    /**
     * How much later than twice its expected time a first byte shows that the request waited in its engine. It is added so
     * that short expected times, which single steps of an engine exceed, do not count.
     */
    private static final double LATE_FIRST_BYTE_MS = 100;
    /** Shorter than {@link TargetChoice#MIN_PREFILL_QUEUE_MS}, so that no engine runs idle between passes. */
    private static final long PASS_MS = 4;
    /**
     * Interval at which late requests are examined. An engine that becomes spare meanwhile is idle for a part of the time
     * that it takes to prefill a prompt.
     */
    private static final long LATE_PASS_MS = 20;
    /** A target has at most one log line of its speed in this time. */
    private static final long SPEED_LOG_MS = 1_000;
    /** Interval between two log lines of a customer that is underserved. */
    private static final long UNDERSERVED_LOG_MS = 1_000;
    /** Up to this many waiting requests, every event triggers a pass, so that a freed target is used immediately. */
    private static final int MAX_WAITING_FOR_FULL_PASS = 16;

    /**
     * How long a placement at a cold target is valid. An entry that lags would send the placements of a longer period
     * together and crash the target.
     */
    private static final long COLD_START_WITHIN_MS = 300;

    /** Reasons for rejecting a request that continues a stream. */
    private static final String STREAM_UNKNOWN = "stream_unknown";

    private static final String VERSION_GONE = "software_version_gone";
    /** Reason for rejecting a request that is larger than the memory of each target. */
    private static final String TOO_LARGE = "too_large";

    private static final String TARGETS_UNKNOWN = "targets_unknown";

    private static final double INITIAL_SERVICE_MS = 50;
    private static final double SERVICE_GAIN = 0.05;

    private final CellId cell;
    private final PlacementPolicy policy;
    private final FairShares shares;
    private final FirstByteModel model = new FirstByteModel();
    private final EntryDelays entryDelays = new EntryDelays();
    private final WaitingQueues waiting = new WaitingQueues();
    private final SizeBalance sizes = new SizeBalance();
    private final FairShareEstimate fairShare = new FairShareEstimate();
    private final DemandReport demandReport = new DemandReport();
    private final EngineMemoryModel memoryModel;
    private final TargetPool targets;
    private final Map<InstanceId, Map<Long, RunningRequest>> running = new HashMap<>();
    /** Requests received since the last pass. */
    private final List<WaitingRequest> arrived = new ArrayList<>();
    /** Requests that were rejected since the last call of {@link #decide}. */
    private final List<Rejection> rejected = new ArrayList<>();

    /** Requests that have become late since late requests were last examined. */
    private final List<WaitingRequest> newlyLate = new ArrayList<>();

    private @Nullable TargetChoice lastPass;
    private long lastLatePassMs;
    private boolean memoryScarce;
    private long speedsLoggedMs;
    private long underservedLoggedMs;
    private double meanServiceMs = INITIAL_SERVICE_MS;
    private long arrivals;
    private long choices;

    private PlacementArbiter(
            CellId cell, PoolSettings pool, ToDoubleFunction<CustomerId> weights, PlacementPolicy policy) {
        this.cell = cell;
        this.policy = policy;
        this.memoryModel = EngineMemoryModel.create(policy);
        this.targets = TargetPool.create(memoryModel);
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

    /** Sets the targets that may receive requests; those in {@code leaving} are excluded. */
    public void targets(Collection<TargetSettings> settings, Set<TargetId> leaving) {
        targets(settings, leaving, Set.of(), 0);
    }

    /**
     * Sets the targets that may receive requests.
     *
     * @param leaving excluded targets, whose state is discarded
     * @param evacuated data centres whose targets are excluded until further notice and keep their state
     */
    public void targets(
            Collection<TargetSettings> settings, Set<TargetId> leaving, Set<DataCentreId> evacuated, long nowMs) {
        targets.targets(settings, leaving, evacuated, nowMs);
        lastPass = null;
        for (WaitingRequest request : waiting.all()) {
            if (!hasTargetOfVersion(request)) {
                removeWaiting(request.entry(), request.placementId());
                rejected.add(new Rejection(request, VERSION_GONE));
            }
        }
    }

    private boolean hasTargetOfVersion(WaitingRequest request) {
        return !request.continuesStream() || targets.usable().stream().anyMatch(request::isServedBy);
    }

    /** Sets the share of a cold target's request rate that this arbiter may use, the rest being for other arbiters. */
    public void coldStartShare(double share) {
        targets.setColdStartShare(share);
    }

    /**
     * Queues a request of an entry instance. Ignored if the request is running; replaces a waiting one with the same
     * id.
     *
     * @param delayMs how long the message waited at this instance
     */
    public void place(InstanceId entry, PeerMessage.Place message, long delayMs, long nowMs) {
        place(entry, message, delayMs, nowMs, nowMs);
    }

    /**
     * Like the other {@code place}, for a request that has waited at this instance for the version of its stream.
     *
     * @param arrivedAtMs when the message was received
     */
    public void place(InstanceId entry, PeerMessage.Place message, long delayMs, long arrivedAtMs, long nowMs) {
        if (running.getOrDefault(entry, Map.of()).containsKey(message.placementId())) {
            return;
        }
        removeWaiting(entry, message.placementId());
        WaitingRequest request = WaitingRequest.of(entry, message, arrivals++, arrivedAtMs);
        memoryModel.requested(request.memoryTokens());
        fairShare.recordDemand(request.customer(), request.costTokens(), nowMs);
        demandReport.asked(request);
        if (!hasTargetOfVersion(request)) {
            rejected.add(new Rejection(request, VERSION_GONE));
            return;
        }
        if (memoryModel.isTooLarge(request.memoryTokens(), targets.usable())) {
            rejected.add(new Rejection(request, TOO_LARGE));
            return;
        }
        if (policy.has(Mechanism.LAG_REJECTION) && LagRejection.rejects(request, delayMs, fairShare, nowMs)) {
            rejected.add(new Rejection(request, PlacementLog.ARBITER_LAG));
            return;
        }
        add(request, nowMs);
    }

    /**
     * Rejects a request because this instance knows no targets of the cell. The entry instance, which knows some, asks
     * the next arbiter.
     */
    public void rejectWithoutTargets(InstanceId entry, PeerMessage.Place message, long nowMs) {
        reject(entry, message, TARGETS_UNKNOWN, nowMs);
    }

    /** Counts demand that an entry instance rejected before it reached this arbiter. */
    public void demandRejected(CustomerId customer, double tokens, long nowMs) {
        fairShare.recordRejectedDemand(customer, tokens, nowMs);
        demandReport.rejectedAtEntry(customer, tokens);
    }

    /**
     * Rejects a request that resumes a stream whose software version is not known.
     *
     * @param arrivedAtMs when the message was received
     */
    public void rejectUnknownStream(InstanceId entry, PeerMessage.Place message, long arrivedAtMs) {
        reject(entry, message, STREAM_UNKNOWN, arrivedAtMs);
    }

    private void reject(InstanceId entry, PeerMessage.Place message, String reason, long arrivedAtMs) {
        if (running.getOrDefault(entry, Map.of()).containsKey(message.placementId())) {
            return;
        }
        removeWaiting(entry, message.placementId());
        WaitingRequest request = WaitingRequest.of(entry, message, arrivals++, arrivedAtMs);
        demandReport.asked(request);
        rejected.add(new Rejection(request, reason));
    }

    /** Whether any request waits for a target. */
    public boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** Whether no request waits or runs, so that the state may be discarded. */
    public boolean isIdle() {
        return waiting.isEmpty() && running.values().stream().allMatch(Map::isEmpty);
    }

    /** Removes a waiting request. Has no effect on a running one. */
    public void withdraw(InstanceId entry, long placementId) {
        WaitingRequest withdrawn = removeWaiting(entry, placementId);
        if (withdrawn != null) {
            demandReport.withdrawn(withdrawn);
        }
    }

    /**
     * Records that the first byte of a request's response has arrived.
     *
     * @param delayMs how long the message waited at this instance
     */
    public void responseStarted(InstanceId entry, long placementId, long delayMs, long nowMs) {
        RunningRequest request = running.getOrDefault(entry, Map.of()).get(placementId);
        if (request == null || request.responseStarted()) {
            return;
        }
        runningOf(entry).put(placementId, request.withResponseStarted());
        TargetLoad target = targetOf(request);
        if (target != null) {
            target.prefilled(request.prompt(), request.prefillTokens(), nowMs);
        }
        if (request.tokensAhead() > 0) {
            observeFirstByte(entry, request, delayMs, nowMs);
        }
    }

    private void observeFirstByte(InstanceId entry, RunningRequest request, long delayMs, long nowMs) {
        // A lag of this instance delays the reports of all entries alike, so that none of them seems late.
        long elapsedMs = nowMs - delayMs - request.startedAtMs();
        TargetLoad target = targetOf(request);
        double poolMs = model.expectedMs(request.tokensAhead());
        double slowness = target == null ? 1 : slowness(target, nowMs);
        double expectedMs = slowness * poolMs;
        double excessMs = elapsedMs - expectedMs;
        boolean onTime = entryDelays.record(entry, excessMs, nowMs);
        if (onTime && target != null && excessMs > LATE_FIRST_BYTE_MS + expectedMs) {
            target.memoryExceeded(nowMs);
        }
        if (onTime || !policy.has(Mechanism.ENTRY_DELAYS)) {
            if (target != null && model.hasEnoughObservations()) {
                target.speed().observe(elapsedMs, poolMs, nowMs);
            }
            model.observe(request.tokensAhead(), elapsedMs);
        }
    }

    /** The time that the target takes for its work relative to the pool. */
    private double slowness(TargetLoad target, long nowMs) {
        return policy.has(Mechanism.TARGET_SPEED) ? target.speed().slowness(nowMs) : 1;
    }

    /** Releases the slot of an ended attempt, and corrects its customer's charge and its target's health. */
    public void attemptEnded(InstanceId entry, PeerMessage.PlacementEnded ended, long nowMs) {
        RunningRequest request = runningOf(entry).remove(ended.placementId());
        if (request == null) {
            return;
        }
        release(request, nowMs);
        settle(request, ended, nowMs);
    }

    /** Takes over an entry instance's running requests. */
    public void takeOver(InstanceId entry, PeerMessage.PlacementsHeld message, long nowMs) {
        for (PeerMessage.HeldPlacement held : message.held()) {
            TargetLoad target = targets.get(held.target());
            boolean known = runningOf(entry).containsKey(held.placementId());
            if (target == null || known) {
                continue;
            }
            RunningRequest request = RunningRequest.takenOver(held, target, nowMs);
            runningOf(entry).put(held.placementId(), request);
            target.takeOver(request.prefillTokens(), request.memoryTokens(), held.answering(), nowMs);
        }
    }

    /**
     * Removes all requests of an entry instance that is gone or unreachable; if it is alive, it sends its requests
     * again.
     */
    public void removeEntry(InstanceId entry, long nowMs) {
        entryDelays.remove(entry);
        waiting.removeAll(entry).forEach(request -> {
            updateWaitingCount(request.customer());
            demandReport.withdrawn(request);
        });
        Map<Long, RunningRequest> held = running.remove(entry);
        if (held != null) {
            held.values().forEach(request -> release(request, nowMs));
        }
    }

    /** Number of target choices so far, to which the arbiter's cost is proportional. */
    long choices() {
        return choices;
    }

    /** Starts the requests that can be started and rejects late ones whose hold has expired. */
    public void decide(long nowMs, ActionSink sink) {
        rejected.forEach(rejection -> refuse(rejection.request(), rejection.reason(), nowMs, sink));
        rejected.clear();
        moveLate(nowMs);
        if (!waiting.isEmpty()) {
            place(nowMs, sink);
        }
        refuseExpired(nowMs, sink);
        logSpeeds(nowMs, sink);
        logUnderserved(nowMs, sink);
        logDemand(nowMs, sink);
    }

    private void logDemand(long nowMs, ActionSink sink) {
        demandReport
                .takeDue(nowMs)
                .forEach(demand -> sink.accept(PlacementLog.demand(
                        cell, demand, fairShare.standing(demand.customer(), nowMs), shares.lead(demand.customer()))));
    }

    private void logUnderserved(long nowMs, ActionSink sink) {
        if (nowMs - underservedLoggedMs < UNDERSERVED_LOG_MS) {
            return;
        }
        underservedLoggedMs = nowMs;
        fairShare
                .underserved(nowMs)
                .forEach(customer -> sink.accept(PlacementLog.underserved(cell, customer, fairShare.tokens(nowMs))));
    }

    private void logSpeeds(long nowMs, ActionSink sink) {
        if (!policy.has(Mechanism.TARGET_SPEED) || nowMs - speedsLoggedMs < SPEED_LOG_MS) {
            return;
        }
        speedsLoggedMs = nowMs;
        for (TargetLoad target : targets.usable()) {
            logSpeed(target, "first_byte", target.speed(), nowMs, sink);
            logSpeed(target, "service", target.serviceSpeed(), nowMs, sink);
        }
    }

    private void logSpeed(TargetLoad target, String basis, TargetSpeed speed, long nowMs, ActionSink sink) {
        if (speed.reportChange(nowMs)) {
            sink.accept(PlacementLog.speedChanged(cell, target.settings().id(), basis, speed, nowMs));
        }
    }

    private void logMemory(ActionSink sink) {
        boolean scarce = targets.usable().stream().anyMatch(TargetLoad::isMemoryScarce);
        if (scarce != memoryScarce) {
            memoryScarce = scarce;
            sink.accept(PlacementLog.engineMemory(cell, scarce, memoryModel.meanTokens(), targets.size()));
        }
    }

    private void place(long nowMs, ActionSink sink) {
        TargetChoice choice = lastPass;
        boolean isQueueShort = waiting.inTimeCount() + waiting.lateCount() <= MAX_WAITING_FOR_FULL_PASS;
        boolean isPassDue = choice == null || isQueueShort || nowMs - choice.atMs() >= PASS_MS;
        if (choice == null || isPassDue) {
            choice = TargetChoice.at(policy, model, meanServiceMs, targets, nowMs);
            lastPass = choice;
            logMemory(sink);
            placeInTime(choice, nowMs, sink);
        } else {
            placeArrived(choice, nowMs, sink);
        }
        arrived.clear();
        if (waiting.inTimeCount() == 0 || (isPassDue && leavesRoomForLate(choice))) {
            placeLate(choice, nowMs, sink);
        }
        newlyLate.clear();
    }

    private void add(WaitingRequest newRequest, long nowMs) {
        long prefillTokens = targets.partIndex().minUncachedTokens(newRequest.prompt());
        double firstByteMs =
                FIRST_BYTE_P75_FACTOR * (TargetChoice.MIN_PREFILL_QUEUE_MS / 2 + model.expectedMs(prefillTokens));
        SizeClass size = SizeClass.of(newRequest.objectiveAtMs() - nowMs, firstByteMs);
        WaitingRequest request = newRequest.withSize(size, prefillTokens);
        long lateAtMs = request.objectiveAtMs() - Math.round(firstByteMs);
        if (size == SizeClass.LARGE && policy.has(Mechanism.SIZE_BALANCE) && sizes.isLargeUnderserved()) {
            long queueWaitMs = SizeClass.expectedQueueWaitMs(request.objectiveAtMs() - nowMs);
            lateAtMs = Math.max(lateAtMs, nowMs + queueWaitMs);
        }
        long turnUntilMs = nowMs + LateRequestHold.holdMs(request.deadlineMs(), request.waitsUntilMs(), nowMs);
        if (lateAtMs <= nowMs ? takesTurnWhenLate(request, nowMs) : keepsTurnWhenLate(request, nowMs)) {
            lateAtMs = Math.max(lateAtMs, turnUntilMs);
        }
        if (lateAtMs <= nowMs) {
            addLate(request, nowMs);
            return;
        }
        waiting.addInTime(request, lateAtMs);
        if (policy.has(Mechanism.EVEN_SHARE)) {
            shares.credit(fairShare.tokens(nowMs));
        }
        updateWaitingCount(request.customer());
        arrived.add(request);
        // The estimate covers the queue of all versions, of which a stream can use one.
        if (policy.has(Mechanism.EARLY_REFUSAL)
                && !request.continuesStream()
                && model.hasEnoughObservations()
                && nowMs + estimatedWaitMs(request) > lateAtMs) {
            removeWaiting(request.entry(), request.placementId());
            addLate(request, nowMs);
        }
    }

    /**
     * Whether a late request waits among those in time. A stream is always late, since its first event was due long ago;
     * its caller has received a part and loses it if the request is rejected.
     */
    private boolean takesTurnWhenLate(WaitingRequest request, long nowMs) {
        return request.continuesStream()
                || (policy.has(Mechanism.LATE_SHARE) && fairShare.isUnderserved(request.customer(), nowMs));
    }

    /**
     * Whether a request that is nearly late keeps its turn once it is late. Large requests of a customer whose entry
     * instance is overloaded arrive with little of their objective left. Without this, early refusal would reject them
     * because of this rest, although they would take their turn if they had arrived some milliseconds later.
     */
    private boolean keepsTurnWhenLate(WaitingRequest request, long nowMs) {
        return fairShare.hasRejectedDemand(request.customer(), nowMs) && takesTurnWhenLate(request, nowMs);
    }

    private double estimatedWaitMs(WaitingRequest request) {
        double healthy = lastPass == null ? targets.size() : lastPass.healthyTargets();
        return QueueWaitEstimate.waitMs(
                request,
                waiting,
                shares,
                model.msPerToken(),
                healthy * targets.order().meanSpeed());
    }

    private void addLate(WaitingRequest request, long nowMs) {
        // A stream has waited for the time of a hold already.
        boolean mayHold =
                policy.has(Mechanism.LATE_HOLDING) && !request.continuesStream() && waiting.lateCount() < maxLate();
        waiting.addLate(request, nowMs + (mayHold ? holdMs(request, nowMs) : 0));
        newlyLate.add(request);
    }

    /** How long a late request is held; 0 if that would only delay its rejection. */
    private long holdMs(WaitingRequest request, long nowMs) {
        long maxMs = LateRequestHold.holdMs(request.deadlineMs(), request.waitsUntilMs(), nowMs);
        if (waiting.inTimeCount() == 0) {
            return hasSpareCapacity() ? maxMs : 0;
        }
        boolean leavesRoom = lastPass != null && leavesRoomForLate(lastPass);
        return leavesRoom ? Math.min(maxMs, LATE_PASS_MS + PASS_MS) : 0;
    }

    /**
     * Whether the requests in time leave room for late ones after their turn: nearly all of usual size are served, only a few
     * wait, for certain targets, and many other targets are free.
     */
    private boolean leavesRoomForLate(TargetChoice choice) {
        return sizes.areOthersServed()
                && waiting.inTimeCount() <= MAX_WAITING_SHARE * choice.healthyTargets()
                && choice.spareTargets() >= MIN_SPARE_SHARE * choice.healthyTargets();
    }

    /** Whether any target has capacity for late requests. */
    private boolean hasSpareCapacity() {
        return targets.usable().stream().anyMatch(target -> target.load() <= TargetChoice.SPARE_LOAD);
    }

    private double maxLate() {
        return MAX_LATE_PER_SLOT * targets.slots();
    }

    /** Moves requests that can no longer meet their objective to the late queue. */
    private void moveLate(long nowMs) {
        for (WaitingRequest next = waiting.nextLate(nowMs); next != null; next = waiting.nextLate(nowMs)) {
            removeWaiting(next.entry(), next.placementId());
            addLate(next, nowMs);
        }
    }

    private void refuseExpired(long nowMs, ActionSink sink) {
        for (WaitingRequest expired = waiting.nextHoldExpired(nowMs);
                expired != null;
                expired = waiting.nextHoldExpired(nowMs)) {
            waiting.remove(expired.entry(), expired.placementId());
            refuse(expired, PlacementLog.LATE, nowMs, sink);
        }
    }

    private void refuse(WaitingRequest request, String reason, long nowMs, ActionSink sink) {
        sizes.recordOutcome(request.size(), false);
        demandReport.rejected(request, reason);
        sink.accept(new Action.SendPeer(
                request.entry(),
                new PeerMessage.NotPlaced(
                        cell,
                        request.placementId(),
                        RetryAfterPolicy.afterMs(request, policy, nowMs),
                        nowMs - request.arrivedAtMs(),
                        reason.equals(STREAM_UNKNOWN) || reason.equals(VERSION_GONE),
                        reason.equals(TARGETS_UNKNOWN))));
        sink.accept(PlacementLog.notPlaced(cell, request, reason, waiting, targets.size(), nowMs));
    }

    private void placeInTime(TargetChoice choice, long nowMs, ActionSink sink) {
        Set<CustomerId> exhausted = new HashSet<>();
        Set<Long> examinedArrivals = new HashSet<>();
        CustomerAccount next = lowestExcept(exhausted);
        while (next != null && choice.hasFree()) {
            if (!placeNextOf(next.customer(), choice, examinedArrivals, nowMs, sink)) {
                exhausted.add(next.customer());
            }
            next = lowestExcept(exhausted);
        }
    }

    private @Nullable CustomerAccount lowestExcept(Set<CustomerId> exhausted) {
        for (CustomerAccount account : shares.backloggedInOrder()) {
            if (!exhausted.contains(account.customer())) {
                return account;
            }
        }
        return null;
    }

    /**
     * Starts the customer's most urgent request that has a target.
     *
     * @param examinedArrivals arrival numbers of the requests already examined in this pass, which are skipped
     */
    private boolean placeNextOf(
            CustomerId customer, TargetChoice choice, Set<Long> examinedArrivals, long nowMs, ActionSink sink) {
        int examined = 0;
        for (WaitingRequest request : waiting.of(customer).requests()) {
            TargetChoice.Chosen chosen = examinedArrivals.add(request.arrival()) ? chooseInTime(request, choice) : null;
            if (chosen != null) {
                start(request, choice, chosen, reason(request, nowMs), nowMs, sink);
                return true;
            }
            // Streams that wait for one version must not keep new requests from targets of another.
            examined += request.continuesStream() ? 0 : 1;
            if (examined == LOOKAHEAD) {
                return false;
            }
        }
        return false;
    }

    /** Examines only new requests; the others found no target in the last pass. */
    private void placeArrived(TargetChoice choice, long nowMs, ActionSink sink) {
        for (WaitingRequest request : arrived) {
            TargetChoice.Chosen chosen = waiting.isInTime(request) ? chooseInTime(request, choice) : null;
            if (chosen != null) {
                start(request, choice, chosen, reason(request, nowMs), nowMs, sink);
            }
        }
    }

    private static String reason(WaitingRequest request, long nowMs) {
        return request.objectiveAtMs() > nowMs ? "in_time" : "late_by_share";
    }

    private TargetChoice.@Nullable Chosen chooseInTime(WaitingRequest request, TargetChoice choice) {
        choices++;
        return choice.chooseInTime(request);
    }

    /**
     * Starts late requests at targets with spare capacity, which the requests in time have left. Between two passes only those are examined that have become
     * late since: their choice examines all targets, so that an arbiter whose requests are all late, as after a lag, would
     * fall behind at a load that it can bear otherwise.
     */
    private void placeLate(TargetChoice choice, long nowMs, ActionSink sink) {
        boolean isPassDue = nowMs - lastLatePassMs >= LATE_PASS_MS;
        lastLatePassMs = isPassDue ? nowMs : lastLatePassMs;
        List<WaitingRequest> examined = isPassDue
                ? waiting.firstLate(LOOKAHEAD)
                : newlyLate.stream().limit(LOOKAHEAD).toList();
        for (WaitingRequest request : examined) {
            if (!choice.hasSpare()) {
                return;
            }
            if (!waiting.isLate(request)) {
                continue;
            }
            choices++;
            TargetChoice.Chosen chosen = choice.chooseLate(request);
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
        double pendingTokens = target.pendingPrefillTokens(nowMs, slowness(target, nowMs) * model.msPerToken());
        removeWaiting(request.entry(), request.placementId());
        sizes.recordOutcome(request.size(), true);
        demandReport.started(request);
        // An entry that lags sends the request at an unknown later time; until then the target has nothing to prefill.
        boolean late = policy.has(Mechanism.ENTRY_DELAYS) && entryDelays.isLate(request.entry());
        long prefillTokens = late ? 0 : chosen.prefillTokens();
        target.started(request.prompt(), prefillTokens, request.memoryTokens(), nowMs);
        target.countStart(targets.coldStartShare(), nowMs);
        choice.started(target);
        shares.charge(request.customer(), request.costTokens());
        double weight = shares.account(request.customer()).weight();
        fairShare.recordCharge(request.customer(), request.costTokens(), weight, nowMs);
        double tokensAhead = request.prompt().isEmpty() ? 0 : pendingTokens + chosen.prefillTokens();
        runningOf(request.entry())
                .put(request.placementId(), RunningRequest.placed(request, chosen, prefillTokens, tokensAhead, nowMs));
        sink.accept(new Action.SendPeer(
                request.entry(),
                new PeerMessage.Placed(
                        cell,
                        request.placementId(),
                        target.settings().id(),
                        chosen.fetchFrom(),
                        nowMs - request.arrivedAtMs(),
                        target.isCold(nowMs) ? COLD_START_WITHIN_MS : PeerMessage.Placed.ANY_TIME,
                        request.softwareVersion())));
        sink.accept(PlacementLog.placed(
                cell, request, chosen, reason, tokensAhead, slowness(target, nowMs), model, waiting, nowMs));
    }

    private void release(RunningRequest request, long nowMs) {
        TargetLoad target = targetOf(request);
        if (target == null) {
            return;
        }
        if (!request.responseStarted()) {
            target.notPrefilled(request.prompt(), request.prefillTokens(), nowMs);
        }
        target.ended(request.prompt(), request.memoryTokens(), nowMs);
    }

    /** The request's target; null if it is gone, or has restarted and thus lost the request. */
    private @Nullable TargetLoad targetOf(RunningRequest request) {
        return targets.get(request.target(), request.targetStartedAtMs());
    }

    private void settle(RunningRequest request, PeerMessage.PlacementEnded ended, long nowMs) {
        boolean ran = ended.end() != PlacementEnd.NOT_RUN
                && ended.end() != PlacementEnd.REFUSED
                && ended.end() != PlacementEnd.CONNECTION_REFUSED;
        long spent = ran ? WaitingRequest.cost(request.promptTokens(), ended.outputTokens()) : 0;
        shares.charge(request.customer(), spent - request.costTokens());
        if (!ran) {
            fairShare.refund(request.customer(), request.costTokens(), nowMs);
        }
        TargetLoad target = targetOf(request);
        if (target == null) {
            return;
        }
        if (ended.end() == PlacementEnd.REFUSED || (ended.end() == PlacementEnd.FAILED && request.responseStarted())) {
            target.memoryExceeded(nowMs);
        }
        if (ended.end() == PlacementEnd.FAILED || ended.end() == PlacementEnd.REFUSED) {
            // A target that refuses connections immediately always has free slots and would receive all waiting
            // requests.
            if (policy.has(Mechanism.OUTLIER_EJECTION)) {
                target.health().failed(nowMs);
            }
        } else if (ended.end() == PlacementEnd.CONNECTION_REFUSED) {
            if (policy.has(Mechanism.OUTLIER_EJECTION)) {
                target.health().connectionRefused(nowMs);
            }
        } else if (ended.end() == PlacementEnd.SERVED) {
            long elapsedMs = nowMs - request.startedAtMs();
            memoryModel.responded(request.outputTokens(), ended.outputTokens());
            target.health().succeeded(nowMs);
            target.served(elapsedMs, meanServiceMs, nowMs);
            meanServiceMs += SERVICE_GAIN * (elapsedMs - meanServiceMs);
        }
    }

    private @Nullable WaitingRequest removeWaiting(InstanceId entry, long placementId) {
        WaitingRequest request = waiting.remove(entry, placementId);
        if (request != null) {
            updateWaitingCount(request.customer());
        }
        return request;
    }

    private void updateWaitingCount(CustomerId customer) {
        shares.waiting(customer, waiting.of(customer).size());
    }

    private record Rejection(WaitingRequest request, String reason) {}

    private Map<Long, RunningRequest> runningOf(InstanceId entry) {
        return running.computeIfAbsent(entry, missing -> new LinkedHashMap<>());
    }
}
