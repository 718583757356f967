package org.marjoramswitch.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Simulates kernels that are connected by ordered queues instead of links, with targets whose attempts end on command.
 * A seeded random source selects every step. The invariants are checked on every action.
 */
final class RandomFleet {
    static final PoolId POOL = PoolId.of("pool");
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    private static final TargetOutcome[] FAULTS = {
        TargetOutcome.REFUSED,
        TargetOutcome.BROKEN_BEFORE_ANSWER,
        TargetOutcome.BROKEN_IN_ANSWER,
        TargetOutcome.SILENT_BEFORE_ANSWER
    };

    private final Random random;
    private final Map<InstanceId, InstanceKernel> kernels = new TreeMap<>();
    private final Map<InstanceId, Long> incarnations = new TreeMap<>();
    private final Map<Link, Deque<PeerMessage>> links = new HashMap<>();
    private final List<Attempt> running = new ArrayList<>();
    private final Map<RequestKey, RequestSpec> open = new HashMap<>();
    private final Map<RequestKey, Integer> mayHaveRun = new HashMap<>();
    private final Set<TargetId> leaving = new TreeSet<>();
    private final FleetSettings settings;
    private long nowMs = 1_000;
    private long nextRequestId = 1;
    private int ended;
    private int completed;

    RandomFleet(long seed, int instances, int targets, int cellTargets) {
        random = new Random(seed);
        settings = settings(targets, cellTargets);
        for (int i = 0; i < instances; i++) {
            incarnations.put(InstanceId.of("i" + i), 1L);
        }
        incarnations.keySet().forEach(this::boot);
        shareView();
    }

    static FleetSettings settings(int targets, int cellTargets) {
        Map<TargetId, TargetSettings> targetSettings = new TreeMap<>();
        for (int i = 0; i < targets; i++) {
            TargetId id = TargetId.of("t" + i);
            targetSettings.put(id, new TargetSettings(id, POOL, "127.0.0.1", 1, DATA_CENTRE, 2, true));
        }
        Map<CustomerId, CustomerSettings> customers = new TreeMap<>();
        for (int i = 0; i < 4; i++) {
            CustomerId id = CustomerId.of("c" + i);
            customers.put(id, new CustomerSettings(id, "team", 1 + i % 2, Set.of(), 50));
        }
        PoolSettings pool = PoolSettings.modelEngines(POOL).withCellTargets(cellTargets);
        return FleetSettings.of(1, customers, Map.of(POOL, pool), targetSettings);
    }

    int completed() {
        return completed;
    }

    int openRequests() {
        return open.size();
    }

    void step() {
        nowMs += random.nextInt(4);
        int choice = random.nextInt(100);
        if (choice < 20) {
            arrive(random.nextInt(4) != 0);
        } else if (choice < 60) {
            deliverOne();
        } else if (choice < 80) {
            endOne(random.nextInt(10) == 0);
        } else if (choice < 94) {
            tick();
        } else if (choice < 96) {
            cutLink();
        } else if (choice < 97) {
            restart(randomInstance());
        } else if (choice < 98) {
            setLeaving();
        } else if (choice < 99) {
            callerGone();
        } else {
            loseFromView();
        }
    }

    /** Runs until no request is open, with complete views, no draining targets and successful attempts. */
    void runToCompletion() {
        leaving.clear();
        kernels.forEach((id, kernel) -> apply(id, new Event.TargetsLeaving(Set.of())));
        shareView();
        for (int round = 0; round < 2_000 && !open.isEmpty(); round++) {
            nowMs += 10;
            while (deliverOne()) {
                // until the links are empty
            }
            tick();
            while (!running.isEmpty()) {
                endOne(false);
            }
        }
    }

    private void boot(InstanceId id) {
        Member self = Member.of(id, incarnationOf(id), DATA_CENTRE, false);
        kernels.put(id, InstanceKernel.create(self));
        apply(id, new Event.SettingsAccepted(settings));
        apply(id, new Event.TargetsLeaving(leaving));
    }

    private long incarnationOf(InstanceId id) {
        return incarnations.getOrDefault(id, 0L);
    }

    private FleetView view(Set<InstanceId> without) {
        return FleetView.of(incarnations.keySet().stream()
                .filter(id -> !without.contains(id))
                .map(id -> Member.of(id, incarnationOf(id), DATA_CENTRE, false))
                .toList());
    }

    private void shareView() {
        List.copyOf(kernels.keySet()).forEach(id -> apply(id, new Event.ViewChanged(view(Set.of()))));
    }

    private InstanceId randomInstance() {
        List<InstanceId> ids = List.copyOf(kernels.keySet());
        return ids.get(random.nextInt(ids.size()));
    }

    private void arrive(boolean repeatable) {
        InstanceId entry = randomInstance();
        long id = nextRequestId++;
        CustomerId customer = CustomerId.of("c" + random.nextInt(4));
        RequestSpec spec = new RequestSpec(
                id, customer, POOL, random.nextInt(8), repeatable, 10, 0, random.nextInt(5), nowMs + 60_000);
        open.put(new RequestKey(entry, id), spec);
        apply(entry, new Event.RequestArrived(spec));
    }

    private boolean deliverOne() {
        List<Link> ready = links.entrySet().stream()
                .filter(link -> !link.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        if (ready.isEmpty()) {
            return false;
        }
        Link link = ready.get(random.nextInt(ready.size()));
        PeerMessage message = links.get(link).remove();
        apply(link.to(), new Event.PeerReceived(link.from(), incarnationOf(link.from()), message));
        return true;
    }

    private void endOne(boolean fault) {
        if (running.isEmpty()) {
            return;
        }
        Attempt attempt = running.remove(random.nextInt(running.size()));
        TargetOutcome outcome = fault ? FAULTS[random.nextInt(FAULTS.length)] : TargetOutcome.COMPLETED;
        if (!outcome.notRun()) {
            mayHaveRun.merge(attempt.key(), 1, Integer::sum);
        }
        apply(
                attempt.key().entry(),
                new Event.TargetEnded(
                        attempt.key().requestId(), outcome, Usage.of(10, 0, 5 + random.nextInt(300), 50)));
    }

    private void tick() {
        List.copyOf(kernels.keySet()).forEach(id -> apply(id, new Event.Tick()));
    }

    private void cutLink() {
        InstanceId left = randomInstance();
        InstanceId right = randomInstance();
        if (left.equals(right)) {
            return;
        }
        dropLink(left, right);
        boolean up = random.nextBoolean();
        apply(left, new Event.PeerLinkChanged(right, false));
        apply(right, new Event.PeerLinkChanged(left, false));
        if (up) {
            apply(left, new Event.PeerLinkChanged(right, true));
            apply(right, new Event.PeerLinkChanged(left, true));
        }
    }

    private void dropLink(InstanceId left, InstanceId right) {
        links.remove(new Link(left, right));
        links.remove(new Link(right, left));
    }

    private void restart(InstanceId id) {
        incarnations.merge(id, 1L, Long::sum);
        kernels.keySet().forEach(other -> dropLink(id, other));
        running.removeIf(attempt -> attempt.key().entry().equals(id));
        open.keySet().removeIf(key -> key.entry().equals(id));
        boot(id);
        shareView();
        List<InstanceId> others =
                kernels.keySet().stream().filter(other -> !other.equals(id)).toList();
        for (InstanceId other : others) {
            apply(other, new Event.PeerLinkChanged(id, false));
            apply(other, new Event.PeerLinkChanged(id, true));
        }
    }

    private void setLeaving() {
        leaving.clear();
        if (random.nextBoolean()) {
            leaving.add(TargetId.of("t" + random.nextInt(settings.targets().size())));
        }
        List.copyOf(kernels.keySet()).forEach(id -> apply(id, new Event.TargetsLeaving(Set.copyOf(leaving))));
    }

    private void callerGone() {
        List<RequestKey> keys = open.keySet().stream().sorted().toList();
        if (!keys.isEmpty()) {
            RequestKey key = keys.get(random.nextInt(keys.size()));
            apply(key.entry(), new Event.CallerGone(key.requestId()));
        }
    }

    private void loseFromView() {
        Set<InstanceId> lost = new HashSet<>(Set.of(randomInstance()));
        InstanceId observer = randomInstance();
        if (!lost.contains(observer)) {
            apply(observer, new Event.ViewChanged(view(lost)));
        }
    }

    private void apply(InstanceId id, Event event) {
        InstanceKernel kernel = kernels.get(id);
        if (kernel == null) {
            throw new IllegalStateException("no kernel " + id);
        }
        kernel.apply(event, nowMs).forEach(action -> perform(id, action));
    }

    private void perform(InstanceId id, Action action) {
        if (action instanceof Action.SendPeer send) {
            links.computeIfAbsent(new Link(id, send.to()), missing -> new ArrayDeque<>())
                    .add(send.message());
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatched(new RequestKey(id, dispatch.requestId()), dispatch.target());
        } else if (action instanceof Action.Complete complete) {
            end(new RequestKey(id, complete.requestId()));
            completed++;
        } else if (action instanceof Action.Fail fail) {
            failed(new RequestKey(id, fail.requestId()), fail.failure());
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancelled(new RequestKey(id, cancel.requestId()));
        }
    }

    private void dispatched(RequestKey key, TargetId target) {
        RequestSpec spec = open.get(key);
        require(spec != null, "dispatch of a request that is not open: " + key);
        require(!leaving.contains(target), "dispatch to a leaving target " + target);
        require(running.stream().noneMatch(attempt -> attempt.key().equals(key)), "two attempts at once: " + key);
        boolean ranBefore = mayHaveRun.getOrDefault(key, 0) > 0;
        require(spec == null || spec.repeatable() || !ranBefore, "second execution of " + key);
        running.add(new Attempt(key, target));
    }

    private void failed(RequestKey key, Failure failure) {
        end(key);
        boolean ran = mayHaveRun.getOrDefault(key, 0) > 0;
        require(
                failure.run() == RunState.UNKNOWN || !ran,
                "run state not-run for a request that may have run: " + key + " " + failure);
    }

    private void cancelled(RequestKey key) {
        boolean was = running.removeIf(attempt -> attempt.key().equals(key));
        if (was) {
            mayHaveRun.merge(key, 1, Integer::sum);
            apply(key.entry(), new Event.TargetEnded(key.requestId(), TargetOutcome.CANCELLED, Usage.NONE));
        }
    }

    private void end(RequestKey key) {
        require(open.remove(key) != null, "second end of " + key);
        ended++;
    }

    private static void require(boolean holds, String violation) {
        if (!holds) {
            throw new AssertionError(violation);
        }
    }

    @Override
    public String toString() {
        return "open=" + open.size() + " running=" + running.size() + " ended=" + ended;
    }

    private record Link(InstanceId from, InstanceId to) implements Comparable<Link> {
        @Override
        public int compareTo(Link other) {
            int first = from.compareTo(other.from);
            return first != 0 ? first : to.compareTo(other.to);
        }
    }

    private record RequestKey(InstanceId entry, long requestId) implements Comparable<RequestKey> {
        @Override
        public int compareTo(RequestKey other) {
            return Long.compare(requestId, other.requestId);
        }
    }

    private record Attempt(RequestKey key, TargetId target) {}
}
