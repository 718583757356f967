package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.capacity.WindowedRetryBudget;
import org.marjoramswitch.kernel.error.ErrorType;
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
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Placed requests in a fleet of three kernels: attempts, retries and changes of the arbiter. */
class PlacementFleetTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final CustomerId CUSTOMER = CustomerId.of("a");
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    private static final List<InstanceId> INSTANCES =
            List.of(InstanceId.of("entry-1"), InstanceId.of("entry-2"), InstanceId.of("entry-3"));
    private static final int SLOTS = 2;
    private static final long PATIENCE_MS = 5_000;
    private static final WindowedRetryBudget.Limits RESENDS = new WindowedRetryBudget.Limits(10_000, 0.2, 12);

    private final Map<InstanceId, InstanceKernel> kernels = new TreeMap<>();
    private final Deque<Sent> wire = new ArrayDeque<>();
    private final List<Action.Dispatch> dispatched = new ArrayList<>();
    private final List<Action.CancelAttempt> cancelled = new ArrayList<>();
    private final Map<Long, Action> ends = new TreeMap<>();
    private final Set<InstanceId> frozen = new HashSet<>();
    private InstanceId arbiter = INSTANCES.get(0);
    private InstanceId entry = INSTANCES.get(0);
    private long nowMs = 1_000;
    private long requests;

    private record Sent(InstanceId from, InstanceId to, PeerMessage message) {}

    @BeforeEach
    void start() {
        List<Member> members = INSTANCES.stream()
                .map(id -> Member.of(id, 1, DATA_CENTRE, false))
                .toList();
        for (Member member : members) {
            kernels.put(
                    member.id(),
                    InstanceKernel.create(member, KernelOptions.defaults().withResendLimits(RESENDS)));
        }
        targets("t1", "t2");
        INSTANCES.forEach(id -> tell(id, new Event.ViewChanged(FleetView.of(members))));
        arbiter = Objects.requireNonNull(kernels.get(INSTANCES.get(0))).arbiterOf(CELL);
        InstanceId named = arbiter;
        entry = INSTANCES.stream().filter(id -> !id.equals(named)).findFirst().orElseThrow();
    }

    @Test
    void aRequestIsStartedOnceAtATarget() {
        long request = arrive(true, 2, false);
        assertEquals(1, dispatched.size());
        end(request, TargetOutcome.COMPLETED);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /**
     * The caller waits some tenths of a second longer. The arbiter stands still with the request in its queue; the next
     * one in rank is asked, and when the first wakes and answers too, its answer is given back.
     */
    @Test
    void aFrozenArbiterIsLeftAndItsLateAnswerStartsNothing() {
        frozen.add(arbiter);
        long request = arrive(true, 2, false);
        assertEquals(0, dispatched.size());
        pass(1_000);
        assertEquals(1, dispatched.size());
        frozen.clear();
        pass(1_000);
        assertEquals(1, dispatched.size());
        end(request, TargetOutcome.COMPLETED);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /** A new arbiter knows what the entries have at the targets: it gives out no slot twice. */
    @Test
    void aNewArbiterIsToldOfRunningRequests() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(2 * SLOTS, dispatched.size());
        loseLink(arbiter);
        arrive(true, 2, false);
        pass(50);
        assertEquals(2 * SLOTS, dispatched.size());
        end(1, TargetOutcome.COMPLETED);
        assertEquals(2 * SLOTS + 1, dispatched.size());
    }

    @Test
    void aRepeatableRequestGoesToAnotherTarget() {
        long request = arrive(true, 2, false);
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(2, dispatched.size());
        assertNotEquals(dispatched.get(0).target(), dispatched.get(1).target());
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(2, dispatched.size());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
    }

    /** The caller is told that nothing is known: the target may have executed what must not be executed twice. */
    @Test
    void aRequestThatMayRunOnceIsNotSentAgain() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(1, dispatched.size());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
    }

    @Test
    void aRequestThatWasRefusedByATargetIsSentAgainWhateverItsKind() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.REFUSED);
        assertEquals(2, dispatched.size());
    }

    @Test
    void aBrokenStreamGoesOnOnlyWhereItMayBeResumed() {
        long resumable = arrive(true, 2, true);
        end(resumable, TargetOutcome.BROKEN_IN_ANSWER);
        assertEquals(2, dispatched.size());
        long plain = arrive(true, 2, false);
        end(plain, TargetOutcome.BROKEN_IN_ANSWER);
        assertEquals(3, dispatched.size());
    }

    @Test
    void theErrorOfATargetIsTheAnswerWhereTheRequestMayNotBeRepeated() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.SERVER_ERROR);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /** The caller's time is over: it is answered at once, and the target works for it no longer. */
    @Test
    void aRunningRequestEndsWithItsTime() {
        long request = arrive(true, 2, false);
        pass(PATIENCE_MS + 20);
        assertEquals(ErrorType.REQUEST_TIMEOUT, failure(request).failure().type());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
        assertEquals(1, cancelled.size());
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(1 + 2 * SLOTS, dispatched.size());
    }

    @Test
    void aRequestWithoutAnyTargetIsRefusedAtOnce() {
        targets();
        long request = arrive(true, 2, false);
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertTrue(failure(request).failure().retryAfterMs() > 0);
    }

    /** A leaving target gets nothing, though the arbiter has not heard yet that it leaves. */
    @Test
    void anEntryStartsNothingAtATargetThatItKnowsToLeave() {
        tell(entry, new Event.SettingsAccepted(settings("t2")));
        for (int i = 0; i < SLOTS; i++) {
            arrive(true, 2, false);
        }
        pass(100);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
    }

    /** With every target failing, second sends stay within the fleet's budget: a share of the requests and a slack. */
    @Test
    void secondSendsStayWithinTheBudget() {
        int asked = 200;
        for (int i = 0; i < asked; i++) {
            long request = arrive(true, 2, false);
            pass(20);
            while (!ends.containsKey(request) && isRunning(request)) {
                end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
            }
        }
        int resent = dispatched.size()
                - (int) dispatched.stream()
                        .mapToLong(Action.Dispatch::requestId)
                        .distinct()
                        .count();
        double bound = RESENDS.share() * asked + RESENDS.slack();
        assertTrue(resent > 0 && resent <= bound, "sent again: " + resent + ", bound " + bound);
    }

    /**
     * The request runs at its target, which reads the prompt itself. The arbiter has not heard yet that the target which
     * keeps the prompt is gone; its address may be another service's by now.
     */
    @Test
    void nothingIsFetchedFromATargetThatTheEntryKnowsToBeGone() {
        arriveAndBePlacedAtT1(TargetId.of("gone"));
        assertEquals(1, dispatched.size());
        assertEquals(TargetId.of("t1"), dispatched.get(0).target());
        assertNull(dispatched.get(0).fetchFrom());
    }

    @Test
    void theEntryPassesOnWhereToFetchFrom() {
        arriveAndBePlacedAtT1(TargetId.of("t2"));
        assertEquals(TargetId.of("t2"), dispatched.get(0).fetchFrom());
    }

    /** A request whose placement the test gives in the arbiter's name. */
    private void arriveAndBePlacedAtT1(TargetId fetchFrom) {
        frozen.add(arbiter);
        arrive(true, 2, false);
        frozen.clear();
        wire.clear();
        wire.add(new Sent(arbiter, entry, new PeerMessage.Placed(CELL, 1, TargetId.of("t1"), fetchFrom)));
        deliver();
    }

    private boolean isRunning(long request) {
        return dispatched.stream().anyMatch(start -> start.requestId() == request);
    }

    private Action.Fail failure(long request) {
        return (Action.Fail) Objects.requireNonNull(ends.get(request));
    }

    private long arrive(boolean repeatable, int attempts, boolean resumable) {
        requests++;
        PlacementSpec placement = new PlacementSpec(
                List.of(PromptPart.of(1, 10), PromptPart.of(100 + requests, 10)), 5, nowMs + 400, attempts, resumable);
        tell(
                entry,
                new Event.RequestArrived(new RequestSpec(
                        requests, CUSTOMER, POOL, 1, repeatable, 20, 5, 0, nowMs + PATIENCE_MS, placement)));
        return requests;
    }

    private void end(long request, TargetOutcome outcome) {
        tell(entry, new Event.TargetEnded(request, outcome, Usage.NONE));
    }

    private void targets(String... names) {
        INSTANCES.forEach(id -> tell(id, new Event.SettingsAccepted(settings(names))));
    }

    private static FleetSettings settings(String... names) {
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        for (String name : names) {
            TargetId id = TargetId.of(name);
            targets.put(id, new TargetSettings(id, POOL, "10.0.0.1", 80, DATA_CENTRE, SLOTS, false));
        }
        return FleetSettings.of(
                1, Map.of(), Map.of(POOL, PoolSettings.modelEngines(POOL).withCellTargets(100)), targets);
    }

    private void loseLink(InstanceId peer) {
        INSTANCES.stream().filter(id -> !id.equals(peer)).forEach(id -> {
            tell(id, new Event.PeerLinkChanged(peer, false));
            tell(peer, new Event.PeerLinkChanged(id, false));
        });
        frozen.add(peer);
    }

    private void pass(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; ) {
            nowMs += 10;
            INSTANCES.stream().filter(id -> !frozen.contains(id)).forEach(id -> tell(id, new Event.Tick()));
        }
    }

    private void tell(InstanceId id, Event event) {
        Objects.requireNonNull(kernels.get(id)).apply(event, nowMs).forEach(action -> perform(id, action));
        deliver();
    }

    private void deliver() {
        List<Sent> kept = new ArrayList<>();
        while (!wire.isEmpty()) {
            Sent sent = wire.poll();
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

    private void perform(InstanceId at, Action action) {
        if (action instanceof Action.SendPeer send) {
            wire.add(new Sent(at, send.to(), send.message()));
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatched.add(dispatch);
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancelled.add(cancel);
        } else if (action instanceof Action.Complete complete) {
            ends.put(complete.requestId(), action);
        } else if (action instanceof Action.Fail fail) {
            ends.put(fail.requestId(), action);
        }
    }
}
