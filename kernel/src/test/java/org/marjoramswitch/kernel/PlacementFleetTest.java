package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Placed requests in a fleet of three kernels: attempts, retries and changes of the arbiter. */
class PlacementFleetTest extends PlacementFleet {
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

    /** Guards against slots that stay taken at an arbiter whose requests ended while another one stood in for it. */
    @Test
    void slotsAreFreeAgainAtAnArbiterThatWasSilentForAMoment() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        frozen.add(arbiter);
        arrive(true, 2, false);
        pass(1_000);
        for (long request = 1; request <= 2 * SLOTS; request++) {
            end(request, TargetOutcome.COMPLETED);
        }
        frozen.clear();
        pass(2_000);
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        pass(50);
        assertEquals(4 * SLOTS, dispatched.size());
    }

    /** Guards against an arbiter that is passed over because this instance was paused itself. */
    @Test
    void anEntryThatWasPausedKeepsItsArbiter() {
        InstanceId third = INSTANCES.stream()
                .filter(id -> !id.equals(arbiter) && !id.equals(entry))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 2 * SLOTS + 1; i++) {
            arrive(true, 2, false);
        }
        frozen.add(entry);
        pass(1_000);
        frozen.clear();
        pass(20);
        frozen.add(third);
        end(1, TargetOutcome.COMPLETED);
        arrive(true, 2, false);
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

    /**
     * Callers are sent to no target that has said itself that it leaves, from no instance that asks the same arbiter, though
     * the list does not know and is read again. When it has started again under its name it is used.
     */
    @Test
    void aTargetsWordThatItLeavesHoldsUntilItStartsAgain() {
        tell(entry, new Event.TargetSaidLeaving(TargetId.of("t1"), 0));
        INSTANCES.forEach(id -> tell(id, new Event.TargetsLeaving(Set.of())));
        targets("t1", "t2");
        entry = arbiter;
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        pass(100);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
        INSTANCES.forEach(id -> tell(id, new Event.SettingsAccepted(settings(5, "t1", "t2"))));
        pass(100);
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** A target that wants nothing for a while gets nothing. When its rest is over, what waits goes there at once. */
    @Test
    void aRestingTargetIsLeftAloneAndUsedAgainAfterwards() {
        tell(entry, new Event.TargetAskedForRest(TargetId.of("t1"), 200));
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        pass(190);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
        pass(30);
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** The instance that was not asked for rest goes on to use the target. */
    @Test
    void aTargetRestsFromOneInstanceAlone() {
        tell(entry, new Event.TargetAskedForRest(TargetId.of("t1"), 60_000));
        entry = arbiter;
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** A placement that was on its way when the target asked for rest is given back, and the request goes elsewhere. */
    @Test
    void aPlacementAtATargetThatRestsByNowIsGivenBack() {
        arriveAndBePlacedAtT1(
                TargetId.of("t1"), () -> tell(entry, new Event.TargetAskedForRest(TargetId.of("t1"), 60_000)));
        pass(100);
        assertEquals(1, dispatched.size());
        assertEquals(TargetId.of("t2"), dispatched.get(0).target());
    }

    /** Callers hear at once when to come back: no target wants their request, so waiting here is of no use to them. */
    @Test
    void whereAllTargetsRestARequestIsRefusedAtOnce() {
        tell(entry, new Event.TargetAskedForRest(TargetId.of("t1"), 2_000));
        tell(entry, new Event.TargetAskedForRest(TargetId.of("t2"), 3_000));
        long request = arrive(true, 2, false);
        assertEquals(ErrorType.TARGETS_REST, failure(request).failure().type());
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertEquals(2_000, failure(request).failure().retryAfterMs());
    }

    /**
     * The caller hears at once when to come back. Of two targets one rests, and the arbiter knows already that the other has
     * left: it has nothing but the resting one to offer, and offered it again each time that it was given back.
     */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aRestingTargetIsNotAskedForOverAndOver() {
        tell(arbiter, new Event.SettingsAccepted(settings("t1")));
        tell(entry, new Event.TargetAskedForRest(TargetId.of("t1"), 2_000));
        long request = arrive(true, 2, false);
        assertEquals(ErrorType.TARGETS_REST, failure(request).failure().type());
        assertEquals(2_000, failure(request).failure().retryAfterMs());
        assertEquals(0, dispatched.size());
    }

    /** A request whose only other target failed it before goes there again, and not to the one that rests. */
    @Test
    void aRestingTargetIsNotTheLastResort() {
        long request = arrive(true, 3, true);
        TargetId failed = dispatched.get(0).target();
        TargetId resting = TargetId.of(failed.equals(TargetId.of("t1")) ? "t2" : "t1");
        tell(entry, new Event.TargetAskedForRest(resting, 60_000));
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        pass(100);
        assertEquals(2, dispatched.size());
        assertEquals(failed, dispatched.get(1).target());
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
        arriveAndBePlacedAtT1(fetchFrom, () -> {});
    }

    /** @param meanwhile between the question and its answer */
    private void arriveAndBePlacedAtT1(TargetId fetchFrom, Runnable meanwhile) {
        frozen.add(arbiter);
        arrive(true, 2, false);
        meanwhile.run();
        frozen.clear();
        wire.clear();
        wire.add(new Sent(arbiter, entry, new PeerMessage.Placed(CELL, 1, TargetId.of("t1"), fetchFrom, 0)));
        deliver();
    }
}
