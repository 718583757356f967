package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.ColdStart;
import org.marjoramswitch.kernel.settings.ColdStartLimits;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Targets in their cold start crash if they receive too many requests in a second, over all instances together. */
class ColdStartTest extends PlacementFleet {
    private static final double COLD_RATE = 18;
    /** The most requests that a cold target withstands in any second: 1.5 times its rate and 5 more. */
    private static final int MAX_PER_SECOND = 32;

    private static final int MANY_SLOTS = 200;
    private static final long COLD_START_MS = 3_000;
    private static final long NEVER_WARM_MS = Long.MAX_VALUE / 2;
    private static final List<TargetId> TARGETS = List.of(TargetId.of("t1"), TargetId.of("t2"));

    /** Requests on their way from an instance to a target. */
    private final List<InTransit> inTransit = new ArrayList<>();

    private final Map<TargetId, List<Long>> arrivals = new HashMap<>();
    private final Map<Long, InstanceId> entryOf = new HashMap<>();
    private int performed;

    private final List<PendingView> pendingViews = new ArrayList<>();

    private record PendingView(long atMs, Runnable change) {}

    private record InTransit(InstanceId at, Action.Dispatch dispatch, long sendAtMs, long sendByMs) {}

    /** Guards against a crash of the target and against leaving it unused. */
    @Test
    void coldTargetReceivesNearlyItsRateWhileWorkWaits() {
        applySettings(settings(NEVER_WARM_MS, TARGETS));
        for (int step = 0; step < 150; step++) {
            arriveAt(INSTANCES.get(step % INSTANCES.size()));
            step(0);
        }
        arrivals.clear();
        long startMs = nowMs;
        for (int step = 0; step < 400; step++) {
            arriveAt(INSTANCES.get(step % INSTANCES.size()));
            step(0);
        }
        double seconds = (nowMs - startMs) / 1_000.0;
        for (TargetId target : TARGETS) {
            long count = arrivals.getOrDefault(target, List.of()).size();
            assertTrue(count >= 2.0 / 3 * COLD_RATE * seconds, target + " got " + count + " in " + seconds + " s");
            assertTrue(maxPerSecond(target) <= MAX_PER_SECOND, target + " got " + maxPerSecond(target));
        }
    }

    /**
     * Guards against two arbiters, late entries and restarted instances that together exceed what a cold target
     * withstands: frozen and restarted instances, cut links, partial views, slow sends.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 80, 120, 160})
    void limitHoldsUnderFailures(int firstSeed) {
        for (int seed = firstSeed; seed < firstSeed + 40; seed++) {
            reset();
            runRandomly(new Random(seed));
            for (TargetId target : TARGETS) {
                int most = maxPerSecond(target);
                assertTrue(most <= MAX_PER_SECOND, "seed " + seed + ": " + target + " got " + most + " in a second");
            }
        }
    }

    /** Guards against a target that turns cold after a second of full load. */
    @Test
    void requestsBeforeTheColdStartCount() {
        List<TargetId> single = TARGETS.subList(0, 1);
        applySettings(settings(0, single));
        for (int step = 0; step < 100; step++) {
            arriveAt(entry);
            step(0);
        }
        applySettings(settings(NEVER_WARM_MS, single));
        arrivals.clear();
        for (int step = 0; step < 50; step++) {
            arriveAt(entry);
            step(0);
        }
        assertTrue(arrivals.isEmpty(), arrivals.toString());
    }

    /** Guards against full load at targets that turned cold during an evacuation and whose entries do not show it yet. */
    @Test
    void targetsOfAReadmittedDataCentreCountAsCold() {
        applySettings(settings(0, TARGETS));
        INSTANCES.forEach(id -> evacuate(id, 10, Set.of(DATA_CENTRE)));
        advance(2_000);
        INSTANCES.forEach(id -> evacuate(id, 11, Set.of()));
        long startMs = nowMs;
        while (nowMs < startMs + COLD_START_MS) {
            arriveAt(entry);
            step(0);
        }
        TARGETS.forEach(target -> assertTrue(maxPerSecond(target) <= MAX_PER_SECOND));
        arrivals.clear();
        for (int step = 0; step < 100; step++) {
            arriveAt(entry);
            step(0);
        }
        assertTrue(arrivals.values().stream().mapToInt(List::size).sum() >= 100);
    }

    private void reset() {
        inTransit.clear();
        arrivals.clear();
        frozen.clear();
        cutLinks.clear();
        pendingViews.clear();
        wire.clear();
        INSTANCES.forEach(id -> restart(id));
        applySettings(settings(NEVER_WARM_MS, TARGETS));
        performed = dispatched.size();
        advance(100);
    }

    private void runRandomly(Random random) {
        for (int step = 0; step < 800; step++) {
            INSTANCES.stream().filter(id -> !frozen.contains(id)).forEach(this::arriveAt);
            if (random.nextInt(50) == 0) {
                fail(random);
            }
            pendingViews.removeIf(view -> {
                boolean due = view.atMs() <= nowMs;
                if (due) {
                    view.change().run();
                }
                return due;
            });
            step(random.nextInt(5) == 0 ? random.nextInt(800) : 2);
        }
    }

    private void fail(Random random) {
        InstanceId one = INSTANCES.get(random.nextInt(INSTANCES.size()));
        switch (random.nextInt(5)) {
            case 0 -> frozen.add(one);
            case 1 -> {
                frozen.clear();
                deliver();
            }
            case 2 -> isolate(one, random);
            case 3 -> heal();
            default -> {
                Set<InstanceId> stillFrozen = Set.copyOf(frozen);
                restart(one);
                apply(one, new Event.SettingsAccepted(settings(NEVER_WARM_MS, TARGETS)));
                stillFrozen.stream().filter(id -> !id.equals(one)).forEach(frozen::add);
            }
        }
    }

    /** Cuts an instance off from the others; both sides detect it after up to two seconds. */
    private void isolate(InstanceId one, Random random) {
        List<InstanceId> others =
                INSTANCES.stream().filter(id -> !id.equals(one)).toList();
        others.forEach(other -> cutLink(one, other));
        FleetView remaining = FleetView.of(others.stream().map(this::member).toList());
        pendingViews.add(new PendingView(
                nowMs + random.nextInt(2_000),
                () -> others.forEach(other -> apply(other, new Event.ViewChanged(remaining)))));
        pendingViews.add(new PendingView(
                nowMs + random.nextInt(2_000),
                () -> apply(one, new Event.ViewChanged(FleetView.of(List.of(member(one)))))));
    }

    private void heal() {
        pendingViews.clear();
        List.copyOf(cutLinks).forEach(cut -> {
            List<InstanceId> ends = List.copyOf(cut);
            healLink(ends.get(0), ends.get(1));
        });
        shareView();
    }

    private void arriveAt(InstanceId id) {
        entry = id;
        entryOf.put(requests + 1, id);
        arrive(true, 2, false);
    }

    /** Lets 10 ms pass; requests dispatched meanwhile are sent after {@code sendDelayMs}, unless that is too late. */
    private void step(long sendDelayMs) {
        for (Action.Dispatch dispatch : dispatched.subList(performed, dispatched.size())) {
            InstanceId at = entryOf.getOrDefault(dispatch.requestId(), entry);
            boolean limited = dispatch.startWithinMs() != PeerMessage.Placed.ANY_TIME;
            long sendByMs = limited ? nowMs + dispatch.startWithinMs() : Long.MAX_VALUE;
            inTransit.add(new InTransit(at, dispatch, nowMs + sendDelayMs, sendByMs));
        }
        performed = dispatched.size();
        List<InTransit> due =
                inTransit.stream().filter(sent -> sent.sendAtMs() <= nowMs).toList();
        inTransit.removeAll(due);
        for (InTransit sent : due) {
            boolean inTime = nowMs < sent.sendByMs();
            if (inTime) {
                arrivals.computeIfAbsent(sent.dispatch().target(), missing -> new ArrayList<>())
                        .add(nowMs);
            }
            TargetOutcome outcome = inTime ? TargetOutcome.COMPLETED : TargetOutcome.NOT_SENT;
            apply(sent.at(), new Event.TargetEnded(sent.dispatch().requestId(), outcome, Usage.NONE));
        }
        advance(10);
    }

    private int maxPerSecond(TargetId target) {
        List<Long> times = arrivals.getOrDefault(target, List.of());
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private void evacuate(InstanceId at, long revision, Set<DataCentreId> dataCentres) {
        apply(at, new Event.DataCentresEvacuated(Evacuations.of(revision, dataCentres)));
    }

    private void applySettings(FleetSettings settings) {
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings)));
    }

    private static FleetSettings settings(long coldUntilMs, List<TargetId> ids) {
        PoolSettings pool = PoolSettings.modelEngines(POOL)
                .withCellTargets(100)
                .withColdStart(ColdStartLimits.of(COLD_START_MS, COLD_RATE));
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        for (TargetId id : ids) {
            TargetSettings target = new TargetSettings(id, POOL, "10.0.0.1", 80, DATA_CENTRE, MANY_SLOTS, false);
            targets.put(id, target.withColdStart(ColdStart.until(coldUntilMs, COLD_RATE)));
        }
        return FleetSettings.of(1, Map.of(), Map.of(POOL, pool), targets);
    }
}
