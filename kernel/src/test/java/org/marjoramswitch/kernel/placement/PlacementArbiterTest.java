package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

class PlacementArbiterTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final InstanceId ENTRY = InstanceId.of("entry-1");
    private static final InstanceId OTHER_ENTRY = InstanceId.of("entry-2");
    private static final CustomerId CUSTOMER = CustomerId.of("a");
    private static final long OBJECTIVE_MS = 400;
    private static final int SLOTS = 2;

    private final PlacementArbiter arbiter =
            PlacementArbiter.create(CELL, PoolSettings.plainServices(POOL), customer -> 1);
    private final Map<Long, TargetId> placed = new HashMap<>();
    private final Map<Long, Long> refused = new HashMap<>();
    private long nowMs = 10_000;
    private long asks;

    @Test
    void requestsGoToTheTargetWithTheMostRoom() {
        targets("t1", "t2");
        TargetId first = place();
        assertNotEquals(first, place());
    }

    @Test
    void aRequestWaitsForASlotAndGetsItAtOnce() {
        targets("t1");
        place();
        long running = asks;
        place();
        assertNull(place());
        long waiting = asks;
        end(running, PlacementEnd.SERVED);
        assertEquals(TargetId.of("t1"), placed.get(waiting));
    }

    /**
     * Callers of the pool see no more than a handful of failures. One of two targets has died and refuses each
     * connection at once, so its slots are always free and it looks like the better one.
     */
    @Test
    void aTargetThatRefusesAtOnceDoesNotDrawTheQueue() {
        targets("dead", "sound");
        int sentToDead = 0;
        for (int i = 0; i < 40; i++) {
            TargetId target = place();
            boolean dead = TargetId.of("dead").equals(target);
            sentToDead += dead ? 1 : 0;
            nowMs += 5;
            end(asks, dead ? PlacementEnd.REFUSED : PlacementEnd.SERVED);
        }
        assertTrue(sentToDead <= 3, "sent to the dead target: " + sentToDead);
    }

    /** With most targets failing the fault is elsewhere; leaving them all out would end the service. */
    @Test
    void targetsAreUsedWhereAllOfThemFail() {
        targets("t1", "t2");
        for (int i = 0; i < 20; i++) {
            place();
            end(asks, PlacementEnd.FAILED);
        }
        assertTrue(place() != null);
    }

    /** Callers of a slow target wait longer; it gets little until it is as fast as the others again. */
    @Test
    void aSlowTargetGetsLittle() {
        targets("slow", "fast");
        int sentToSlow = 0;
        for (int i = 0; i < 60; i++) {
            boolean slow = TargetId.of("slow").equals(place());
            sentToSlow += slow ? 1 : 0;
            nowMs += slow ? 500 : 60;
            end(asks, PlacementEnd.SERVED);
        }
        assertTrue(sentToSlow < 20, "sent to the slow target: " + sentToSlow);
    }

    /** Requests come one at a time, so no load speaks for the target that was slow once; it gets another chance. */
    @Test
    void aTargetThatWasSlowOnceIsTriedAgain() {
        targets("t1", "t2");
        TargetId slow = place();
        nowMs += 400;
        end(asks, PlacementEnd.SERVED);
        boolean triedAgain = false;
        for (int i = 0; i < 300; i++) {
            triedAgain = triedAgain || place().equals(slow);
            nowMs += 50;
            end(asks, PlacementEnd.SERVED);
            nowMs += 50;
        }
        assertTrue(triedAgain);
    }

    /** The light customer's one request goes before the ten of the heavy one that came earlier. */
    @Test
    void aLightCustomerGoesBeforeAHeavyOne() {
        targets("t1");
        place();
        long firstRunning = asks;
        place();
        for (int i = 0; i < 10; i++) {
            place();
        }
        ask(ENTRY, CustomerId.of("light"), List.of(), OBJECTIVE_MS, List.of());
        long light = asks;
        end(firstRunning, PlacementEnd.SERVED);
        assertEquals(TargetId.of("t1"), placed.get(light));
    }

    @Test
    void aSessionStaysWhereItWasRead() {
        targets("t1", "t2", "t3");
        List<PromptPart> session = List.of(PromptPart.of(1, 500), PromptPart.of(2, 5_000));
        TargetId home = placePrompt(session, 90);
        for (int i = 0; i < 5; i++) {
            end(asks, PlacementEnd.SERVED);
            nowMs += 100;
            assertEquals(home, placePrompt(session, 100 + i));
        }
    }

    /** A new arbiter knows no caches; it sends a session where any other arbiter would. */
    @Test
    void twoArbitersNameTheSameEngineForASession() {
        PlacementArbiter other = PlacementArbiter.create(CELL, PoolSettings.plainServices(POOL), customer -> 1);
        targets("t1", "t2", "t3", "t4");
        other.targets(settings("t1", "t2", "t3", "t4"), Set.of());
        for (long session = 50; session < 60; session++) {
            List<PromptPart> prompt = List.of(PromptPart.of(session, 3_000), PromptPart.of(1_000 + session, 10));
            ask(ENTRY, CUSTOMER, prompt, OBJECTIVE_MS, List.of());
            TargetId here = placed.get(asks);
            end(asks, PlacementEnd.SERVED);
            other.place(OTHER_ENTRY, message(asks, CUSTOMER, prompt, OBJECTIVE_MS, List.of()), nowMs);
            List<Action> actions = new ArrayList<>();
            other.decide(nowMs, actions::add);
            assertEquals(here, placedIn(actions).findFirst().orElseThrow().target());
            other.removeEntry(OTHER_ENTRY, nowMs);
        }
    }

    /** The caller is told at the end of its useful time, with when to come back, and not at its deadline. */
    @Test
    void aRequestThatCannotBeInTimeIsRefusedSoon() {
        targets("t1");
        place();
        place();
        place();
        long waiting = asks;
        for (int i = 0; i < 250; i++) {
            nowMs += 10;
            decide();
        }
        assertNull(placed.get(waiting));
        assertTrue(refused.get(waiting) > 0);
    }

    /** Nothing is gained by holding it: every target is full, and its caller could ask elsewhere or later. */
    @Test
    void aLateRequestIsNotHeldBeforeFullTargets() {
        targets("t1");
        place();
        place();
        ask(ENTRY, CUSTOMER, List.of(), -100, List.of());
        assertTrue(refused.get(asks) > 0);
    }

    @Test
    void aLateRequestIsServedWhereATargetHasTime() {
        targets("t1");
        ask(ENTRY, CUSTOMER, List.of(), -100, List.of());
        assertEquals(TargetId.of("t1"), placed.get(asks));
    }

    /** Callers refused together do not come back together, and the one with more time left comes back later. */
    @Test
    void refusedCallersAreToldDifferentTimes() {
        targets("t1");
        place();
        place();
        Set<Long> told = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            ask(ENTRY, CUSTOMER, List.of(), -100, List.of());
            told.add(refused.get(asks));
        }
        assertEquals(8, told.size());
        assertTrue(told.stream().allMatch(retryAfterMs -> retryAfterMs >= 1_500 && retryAfterMs <= 2_500));
    }

    @Test
    void aTargetThatFailedARequestIsLeftOutForIt() {
        targets("t1", "t2");
        ask(ENTRY, CUSTOMER, List.of(), OBJECTIVE_MS, List.of(TargetId.of("t1")));
        assertEquals(TargetId.of("t2"), placed.get(asks));
        ask(ENTRY, CUSTOMER, List.of(), OBJECTIVE_MS, List.of(TargetId.of("t1"), TargetId.of("t2")));
        assertTrue(placed.get(asks) != null);
    }

    /** A new arbiter that was told of running requests gives their slots to nobody else. */
    @Test
    void runningRequestsAreTakenOver() {
        targets("t1");
        List<PeerMessage.HeldPlacement> held = new ArrayList<>();
        for (long ask = 1; ask <= SLOTS; ask++) {
            held.add(new PeerMessage.HeldPlacement(ask, CUSTOMER, TargetId.of("t1"), 0, 0, true));
        }
        arbiter.takeOver(OTHER_ENTRY, new PeerMessage.PlacementsHeld(CELL, held), nowMs);
        assertNull(place());
        long waiting = asks;
        arbiter.removeEntry(OTHER_ENTRY, nowMs);
        decide();
        assertEquals(TargetId.of("t1"), placed.get(waiting));
    }

    /**
     * Callers wait beside an idle target. It crashed with its slots full and started again under its name; the ends of what
     * ran there are still on their way, and its slots looked taken.
     */
    @Test
    void aTargetThatStartsAgainHasAllItsSlots() {
        targets("t1");
        List<Long> running = List.of(asks + 1, asks + 2);
        place();
        place();
        assertNull(place());
        startAgain("t1", 1);
        decide();
        assertEquals(TargetId.of("t1"), placed.get(asks));
        assertEquals(TargetId.of("t1"), place());
        // Both slots of the new start are taken. What failed with the former one frees none of them and does not count
        // against it.
        place();
        long waiting = asks;
        running.forEach(ask -> end(ask, PlacementEnd.FAILED));
        assertNull(placed.get(waiting));
        end(waiting - 1, PlacementEnd.SERVED);
        assertEquals(TargetId.of("t1"), placed.get(waiting));
    }

    @Test
    void aWithdrawnRequestIsNotPlaced() {
        targets("t1");
        place();
        long running = asks;
        place();
        place();
        long waiting = asks;
        arbiter.withdraw(ENTRY, waiting);
        end(running, PlacementEnd.SERVED);
        assertNull(placed.get(waiting));
    }

    private void targets(String... names) {
        arbiter.targets(settings(names), Set.of());
    }

    private void startAgain(String name, long startedAtMs) {
        List<TargetSettings> started = settings(name).stream()
                .map(settings -> settings.withStart(startedAtMs))
                .toList();
        arbiter.targets(started, Set.of());
    }

    private static List<TargetSettings> settings(String... names) {
        return Stream.of(names)
                .map(name -> new TargetSettings(
                        TargetId.of(name), POOL, "10.0.0.1", 80, DataCentreId.of("dc"), SLOTS, false))
                .toList();
    }

    private @Nullable TargetId place() {
        ask(ENTRY, CUSTOMER, List.of(), OBJECTIVE_MS, List.of());
        return placed.get(asks);
    }

    private @Nullable TargetId placePrompt(List<PromptPart> session, long own) {
        List<PromptPart> prompt = new ArrayList<>(session);
        prompt.add(PromptPart.of(own, 100));
        ask(ENTRY, CUSTOMER, prompt, OBJECTIVE_MS, List.of());
        return placed.get(asks);
    }

    private void ask(
            InstanceId entry, CustomerId customer, List<PromptPart> prompt, long objectiveMs, List<TargetId> excluded) {
        asks++;
        arbiter.place(entry, message(asks, customer, prompt, objectiveMs, excluded), nowMs);
        decide();
    }

    private static PeerMessage.Place message(
            long ask, CustomerId customer, List<PromptPart> prompt, long objectiveMs, List<TargetId> excluded) {
        return new PeerMessage.Place(CELL, ask, customer, 1, prompt, 10, objectiveMs, 8_000, excluded);
    }

    private void end(long ask, PlacementEnd end) {
        arbiter.ended(ENTRY, new PeerMessage.PlacementEnded(CELL, ask, 10, end), nowMs);
        decide();
    }

    private void decide() {
        List<Action> actions = new ArrayList<>();
        arbiter.decide(nowMs, actions::add);
        placedIn(actions).forEach(message -> placed.put(message.ask(), message.target()));
        for (Action action : actions) {
            if (action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.NotPlaced message) {
                refused.put(message.ask(), message.retryAfterMs());
            }
        }
    }

    private static Stream<PeerMessage.Placed> placedIn(List<Action> actions) {
        return actions.stream()
                .filter(Action.SendPeer.class::isInstance)
                .map(action -> ((Action.SendPeer) action).message())
                .filter(PeerMessage.Placed.class::isInstance)
                .map(PeerMessage.Placed.class::cast);
    }
}
