package org.marjoramswitch.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.capacity.WindowedRetryBudget;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.StreamSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Base of tests with three kernels that place requests in virtual time. Messages arrive immediately, except at frozen
 * kernels. Dispatched, cancelled and ended requests are recorded.
 */
abstract class PlacementFleet {
    static final PoolId POOL = PoolId.of("pool");
    static final CellId CELL = CellId.of(POOL, 0);
    static final CustomerId CUSTOMER = CustomerId.of("a");
    static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    static final List<InstanceId> INSTANCES =
            List.of(InstanceId.of("entry-1"), InstanceId.of("entry-2"), InstanceId.of("entry-3"));
    static final int SLOTS = 2;
    static final long CALLER_TIMEOUT_MS = 5_000;
    static final WindowedRetryBudget.Limits RETRY_LIMITS = new WindowedRetryBudget.Limits(10_000, 0.2, 12);

    final Map<InstanceId, InstanceKernel> kernels = new TreeMap<>();
    final Deque<Sent> wire = new ArrayDeque<>();
    final List<Action.Dispatch> dispatched = new ArrayList<>();
    final List<Action.CancelAttempt> cancelled = new ArrayList<>();
    /** Requests whose running attempts were ended because their targets were silent. */
    final List<Long> endedAsSilent = new ArrayList<>();
    /** Requests whose callers have disconnected, which is noticed when their connections are read. */
    final Set<Long> disconnected = new HashSet<>();

    final Map<Long, Action> ends = new TreeMap<>();
    /** When a request's caller was last sent a part of the response. */
    final Map<Long, Long> callerProgress = new TreeMap<>();

    /** Progress timeout of the callers of new requests; 0 if they wait until their deadline. */
    long progressTimeoutMs;

    /** How long callers of new requests wait for a complete response. */
    long callerTimeoutMs = CALLER_TIMEOUT_MS;

    /** How long before their arrival at the kernel new requests were read. */
    long readDelayMs;

    private final Deque<Runnable> progressReports = new ArrayDeque<>();
    final Set<InstanceId> frozen = new HashSet<>();
    /** Pairs of instances between which messages are lost. */
    final Set<Set<InstanceId>> cutLinks = new HashSet<>();

    private final Map<InstanceId, Long> incarnations = new TreeMap<>();
    InstanceId arbiter = INSTANCES.get(0);
    InstanceId entry = INSTANCES.get(0);
    long nowMs = 1_000;
    long requests;

    record Sent(InstanceId from, InstanceId to, PeerMessage message) {}

    @BeforeEach
    void start() {
        INSTANCES.forEach(id -> boot(member(id)));
        targets("t1", "t2");
        shareView();
        arbiter = Objects.requireNonNull(kernels.get(INSTANCES.get(0))).arbiterOf(CELL);
        InstanceId named = arbiter;
        entry = INSTANCES.stream().filter(id -> !id.equals(named)).findFirst().orElseThrow();
    }

    private void boot(Member member) {
        kernels.put(
                member.id(),
                InstanceKernel.create(member, KernelOptions.defaults().withResendLimits(RETRY_LIMITS)));
    }

    /** Restarts the instance's process without its state and notifies the others of its exit and its start. */
    void restart(InstanceId id, String... targetNames) {
        restart(id, settings(targetNames));
    }

    void restart(InstanceId id, FleetSettings settings) {
        loseLink(id);
        wire.clear();
        incarnations.merge(id, 1L, Long::sum);
        boot(member(id));
        frozen.remove(id);
        apply(id, new Event.SettingsAccepted(settings));
        shareView();
        INSTANCES.stream().filter(other -> !other.equals(id)).forEach(other -> {
            apply(other, new Event.PeerLinkChanged(id, true));
            apply(id, new Event.PeerLinkChanged(other, true));
        });
    }

    /** Stops all instances at once; their state and all messages are lost. */
    void crashAll() {
        wire.clear();
        progressReports.clear();
        frozen.addAll(INSTANCES);
    }

    /** Starts all instances after {@link #crashAll}, without their state. */
    void startAll(FleetSettings settings) {
        INSTANCES.forEach(id -> incarnations.merge(id, 1L, Long::sum));
        INSTANCES.forEach(id -> boot(member(id)));
        frozen.clear();
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings)));
        shareView();
        for (InstanceId id : INSTANCES) {
            INSTANCES.stream()
                    .filter(other -> !other.equals(id))
                    .forEach(other -> apply(id, new Event.PeerLinkChanged(other, true)));
        }
    }

    Member member(InstanceId id) {
        return Member.of(id, incarnations.getOrDefault(id, 1L), DATA_CENTRE, false);
    }

    void cutLink(InstanceId one, InstanceId other) {
        cutLinks.add(Set.of(one, other));
        apply(one, new Event.PeerLinkChanged(other, false));
        apply(other, new Event.PeerLinkChanged(one, false));
    }

    void healLink(InstanceId one, InstanceId other) {
        cutLinks.remove(Set.of(one, other));
        apply(one, new Event.PeerLinkChanged(other, true));
        apply(other, new Event.PeerLinkChanged(one, true));
    }

    void shareView() {
        FleetView view = FleetView.of(INSTANCES.stream().map(this::member).toList());
        INSTANCES.forEach(id -> apply(id, new Event.ViewChanged(view)));
    }

    boolean isRunning(long request) {
        return dispatched.stream().anyMatch(start -> start.requestId() == request);
    }

    Action.Fail failure(long request) {
        return (Action.Fail) Objects.requireNonNull(ends.get(request));
    }

    long arrive(boolean repeatable, int attempts, boolean resumable) {
        return arrive(repeatable, attempts, resumable, 0);
    }

    long arrive(boolean repeatable, int attempts, boolean resumable, long digest) {
        return arrive(repeatable, attempts, resumable, digest, null);
    }

    long arrive(boolean repeatable, int attempts, boolean resumable, long digest, @Nullable StreamSpec stream) {
        List<PromptPart> prompt = List.of(PromptPart.of(1, 10), PromptPart.of(101 + requests, 10));
        return arrive(
                new PlacementSpec(prompt, 5, nowMs + 400, attempts, resumable).withStream(stream), repeatable, digest);
    }

    long arrive(PlacementSpec placement) {
        return arrive(placement, 0);
    }

    long arrive(PlacementSpec placement, long digest) {
        return arrive(placement, true, digest);
    }

    private long arrive(PlacementSpec placement, boolean repeatable, long digest) {
        requests++;
        RequestSpec spec = new RequestSpec(
                requests, CUSTOMER, POOL, 1, repeatable, 20, 5, 0, nowMs + callerTimeoutMs, placement, digest);
        apply(entry, new Event.RequestArrived(spec.withProgressTimeout(progressTimeoutMs, nowMs - readDelayMs)));
        return requests;
    }

    void end(long request, TargetOutcome outcome) {
        apply(entry, new Event.TargetEnded(request, outcome, Usage.NONE));
    }

    void targets(String... names) {
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings(names))));
    }

    static FleetSettings settings(String... names) {
        return settings(0, names);
    }

    static FleetSettings settings(long startedAtMs, String... names) {
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        for (String name : names) {
            TargetId id = TargetId.of(name);
            targets.put(
                    id, new TargetSettings(id, POOL, "10.0.0.1", 80, DATA_CENTRE, SLOTS, false).withStart(startedAtMs));
        }
        return FleetSettings.of(
                1, Map.of(), Map.of(POOL, PoolSettings.modelEngines(POOL).withCellTargets(100)), targets);
    }

    /** Settings with targets of different software versions. */
    static FleetSettings settings(Map<String, String> versionByTarget) {
        FleetSettings settings = settings(versionByTarget.keySet().toArray(String[]::new));
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        settings.targets()
                .forEach((id, target) -> targets.put(
                        id, target.withSoftwareVersion(Objects.requireNonNull(versionByTarget.get(id.name())))));
        return FleetSettings.of(settings.generation(), settings.customers(), settings.pools(), targets);
    }

    /** Settings with one target in each data centre, named after it. */
    static FleetSettings settingsOf(DataCentreId... dataCentres) {
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        for (DataCentreId dataCentre : dataCentres) {
            TargetId id = TargetId.of("t-" + dataCentre);
            targets.put(id, new TargetSettings(id, POOL, "10.0.0.1", 80, dataCentre, SLOTS, false));
        }
        return FleetSettings.of(
                1, Map.of(), Map.of(POOL, PoolSettings.modelEngines(POOL).withCellTargets(100)), targets);
    }

    void loseLink(InstanceId peer) {
        INSTANCES.stream().filter(id -> !id.equals(peer)).forEach(id -> {
            apply(id, new Event.PeerLinkChanged(peer, false));
            apply(peer, new Event.PeerLinkChanged(id, false));
        });
        frozen.add(peer);
    }

    void advance(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; ) {
            nowMs += 10;
            INSTANCES.stream().filter(id -> !frozen.contains(id)).forEach(id -> apply(id, new Event.Tick()));
            while (!progressReports.isEmpty()) {
                progressReports.poll().run();
            }
        }
    }

    void apply(InstanceId id, Event event) {
        Objects.requireNonNull(kernels.get(id)).apply(event, nowMs).forEach(action -> perform(id, action));
        deliver();
    }

    void deliver() {
        List<Sent> kept = new ArrayList<>();
        while (!wire.isEmpty()) {
            Sent sent = wire.poll();
            if (cutLinks.contains(Set.of(sent.from(), sent.to()))) {
                continue;
            }
            if (frozen.contains(sent.to())) {
                kept.add(sent);
                continue;
            }
            Objects.requireNonNull(kernels.get(sent.to()))
                    .apply(new Event.PeerReceived(sent.from(), 1, sent.message()), nowMs)
                    .forEach(action -> perform(sent.to(), action));
        }
        wire.addAll(kept);
    }

    void perform(InstanceId at, Action action) {
        if (action instanceof Action.SendPeer send) {
            wire.add(new Sent(at, send.to(), send.message()));
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatched.add(dispatch);
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancelled.add(cancel);
        } else if (action instanceof Action.ExpireAttempt expire) {
            cancelled.add(new Action.CancelAttempt(expire.requestId(), expire.target()));
            progressReports.add(
                    () -> apply(at, new Event.TargetEnded(expire.requestId(), TargetOutcome.CANCELLED, Usage.NONE)));
        } else if (action instanceof Action.EndSilentAttempt silent) {
            endedAsSilent.add(silent.requestId());
        } else if (action instanceof Action.QueryProgress query) {
            if (disconnected.contains(query.requestId())) {
                progressReports.add(() -> apply(at, new Event.CallerGone(query.requestId())));
                return;
            }
            long progressedAtMs = callerProgress.getOrDefault(query.requestId(), Event.NO_PROGRESS);
            long agoMs = progressedAtMs == Event.NO_PROGRESS ? Event.NO_PROGRESS : nowMs - progressedAtMs;
            progressReports.add(() -> apply(at, new Event.ProgressReported(query.requestId(), agoMs)));
        } else if (action instanceof Action.Complete complete) {
            ends.put(complete.requestId(), action);
        } else if (action instanceof Action.Fail fail) {
            ends.put(fail.requestId(), action);
        }
    }
}
