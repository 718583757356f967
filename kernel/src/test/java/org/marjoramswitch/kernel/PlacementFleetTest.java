package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Objects;
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

/** Tests attempts, retries and changes of the arbiter of placed requests in a fleet of three kernels. */
class PlacementFleetTest extends PlacementFleet {
    /** Attempts whose connections were not refused. */
    private static final int MAX_ATTEMPTS = 4;

    @Test
    void requestIsDispatchedOnce() {
        long request = arrive(true, 2, false);
        assertEquals(1, dispatched.size());
        end(request, TargetOutcome.COMPLETED);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /**
     * Guards against a second start of a request. The arbiter freezes with the request in its queue, so the entry sends
     * its placement request to the next instance in rank. When the first arbiter resumes, its placement is returned
     * unused.
     */
    @Test
    void latePlacementOfAFrozenArbiterStartsNothing() {
        frozen.add(arbiter);
        long request = arrive(true, 2, false);
        assertEquals(0, dispatched.size());
        advance(1_000);
        assertEquals(1, dispatched.size());
        frozen.clear();
        advance(1_000);
        assertEquals(1, dispatched.size());
        end(request, TargetOutcome.COMPLETED);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /** Guards against an entry that leaves its arbiter for half a second after each pause of its own. */
    @Test
    void entryThatWasPausedReturnsToItsArbiterAtOnce() {
        frozen.add(arbiter);
        arrive(true, 2, false);
        advance(20);
        frozen.clear();
        frozen.add(entry);
        advance(1_000);
        frozen.clear();
        // A process that wakes up evaluates its timers before the messages that have arrived meanwhile.
        Objects.requireNonNull(kernels.get(entry))
                .apply(new Event.Tick(), nowMs)
                .forEach(action -> perform(entry, action));
        advance(20);
        assertEquals(arbiter, Objects.requireNonNull(kernels.get(entry)).arbiterOf(CELL));
    }

    /** Guards against granting a slot twice: entries report their running requests to a new arbiter. */
    @Test
    void newArbiterCountsRunningRequests() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(2 * SLOTS, dispatched.size());
        loseLink(arbiter);
        arrive(true, 2, false);
        advance(50);
        assertEquals(2 * SLOTS, dispatched.size());
        end(1, TargetOutcome.COMPLETED);
        assertEquals(2 * SLOTS + 1, dispatched.size());
    }

    /** Guards against slots that stay taken at an arbiter whose requests ended while another one replaced it. */
    @Test
    void slotsAreFreedAtAnArbiterThatWasSilent() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        frozen.add(arbiter);
        arrive(true, 2, false);
        advance(1_000);
        for (long request = 1; request <= 2 * SLOTS; request++) {
            end(request, TargetOutcome.COMPLETED);
        }
        frozen.clear();
        advance(2_000);
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        advance(50);
        assertEquals(4 * SLOTS, dispatched.size());
    }

    /** Guards against leaving a working arbiter because the entry itself was paused. */
    @Test
    void pausedEntryKeepsItsArbiter() {
        InstanceId third = INSTANCES.stream()
                .filter(id -> !id.equals(arbiter) && !id.equals(entry))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 2 * SLOTS + 1; i++) {
            arrive(true, 2, false);
        }
        frozen.add(entry);
        advance(1_000);
        frozen.clear();
        advance(20);
        frozen.add(third);
        end(1, TargetOutcome.COMPLETED);
        arrive(true, 2, false);
        assertEquals(2 * SLOTS + 1, dispatched.size());
    }

    /**
     * Guards against an endless exchange of messages: the arbiter's list is behind and has only targets that the entry
     * knows to be gone.
     */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void requestWaitsForAnArbiterWhoseListIsBehind() {
        apply(entry, new Event.SettingsAccepted(settings("t3")));
        long served = arrive(true, 2, false);
        advance(100);
        assertFalse(isRunning(served));
        targets("t3");
        advance(100);
        assertTrue(isRunning(served));
    }

    /** Guards against holding a request to its deadline while the arbiter's list stays behind. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void requestIsRejectedIfTheArbitersListStaysBehind() {
        apply(entry, new Event.SettingsAccepted(settings("t3")));
        long request = arrive(true, 2, false);
        advance(1_000);
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertTrue(failure(request).failure().retryAfterMs() > 0);
    }

    @Test
    void repeatableRequestIsRetriedAtAnotherTarget() {
        long request = arrive(true, 2, false);
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(2, dispatched.size());
        assertNotEquals(dispatched.get(0).target(), dispatched.get(1).target());
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(2, dispatched.size());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
    }

    /** Guards against a second execution: the target may have run the request, so the run state is unknown. */
    @Test
    void nonRepeatableRequestIsNotRetried() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(1, dispatched.size());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
    }

    @Test
    void refusedRequestIsRetriedEvenIfNotRepeatable() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.REFUSED);
        assertEquals(2, dispatched.size());
    }

    /** Guards against a request that is sent again without end, since refused connections take no retry. */
    @Test
    void requestThatAllTargetsRefuseEnds() {
        long request = arrive(false, 1, false);
        int refused = 0;
        for (int i = 0; i < 300 && !ends.containsKey(request); i++) {
            if (refused < dispatched.size()) {
                refused++;
                end(request, TargetOutcome.CONNECTION_REFUSED);
            } else {
                advance(100);
            }
        }
        long targets =
                dispatched.stream().map(Action.Dispatch::target).distinct().count();
        assertTrue(refused <= targets + MAX_ATTEMPTS, refused + " attempts at " + targets + " targets");
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
    }

    @Test
    void brokenStreamContinuesOnlyIfResumable() {
        long resumable = arrive(true, 2, true);
        end(resumable, TargetOutcome.BROKEN_IN_ANSWER);
        assertEquals(2, dispatched.size());
        long plain = arrive(true, 2, false);
        end(plain, TargetOutcome.BROKEN_IN_ANSWER);
        assertEquals(3, dispatched.size());
    }

    @Test
    void targetErrorIsTheResponseOfANonRepeatableRequest() {
        long request = arrive(false, 1, false);
        end(request, TargetOutcome.SERVER_ERROR);
        assertTrue(ends.get(request) instanceof Action.Complete);
    }

    /** Guards against another attempt after an error that the caller has received. */
    @Test
    void deliveredTargetErrorIsTheResponseOfARepeatableRequest() {
        long request = arrive(true, 2, false);
        end(request, TargetOutcome.SERVER_ERROR_DELIVERED);
        assertTrue(ends.get(request) instanceof Action.Complete);
        assertEquals(1, dispatched.size());
    }

    /** Guards against work past the deadline: the caller receives a failure and the attempt is cancelled. */
    @Test
    void runningRequestEndsAtItsDeadline() {
        long request = arrive(true, 2, false);
        advance(CALLER_TIMEOUT_MS + 20);
        assertEquals(ErrorType.REQUEST_TIMEOUT, failure(request).failure().type());
        assertEquals(RunState.UNKNOWN, failure(request).failure().run());
        assertEquals(1, cancelled.size());
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(1 + 2 * SLOTS, dispatched.size());
    }

    @Test
    void requestWithoutTargetsIsRejectedImmediately() {
        targets();
        long request = arrive(true, 2, false);
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertTrue(failure(request).failure().retryAfterMs() > 0);
    }

    /** Guards against a dispatch to a draining target that the arbiter does not know to be draining. */
    @Test
    void entryDispatchesNothingToADrainingTarget() {
        apply(entry, new Event.SettingsAccepted(settings("t2")));
        for (int i = 0; i < SLOTS; i++) {
            arrive(true, 2, false);
        }
        advance(100);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
    }

    /**
     * Guards against dispatches to a target that has announced its shutdown itself, from any entry of the same arbiter,
     * while the target list does not show it and is read again. The target is used again once it has restarted.
     */
    @Test
    void announcedShutdownHoldsUntilTheTargetRestarts() {
        apply(entry, new Event.TargetReportedDraining(TargetId.of("t1"), 0));
        INSTANCES.forEach(id -> apply(id, new Event.TargetsLeaving(Set.of())));
        targets("t1", "t2");
        entry = arbiter;
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        advance(100);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings(5, "t1", "t2"))));
        advance(100);
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** A target in backoff receives nothing. When the backoff has elapsed, waiting requests go there immediately. */
    @Test
    void targetInBackoffIsUsedAgainAfterwards() {
        apply(entry, new Event.TargetBackoffRequested(TargetId.of("t1"), 200));
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        advance(190);
        assertEquals(SLOTS, dispatched.size());
        assertTrue(dispatched.stream().allMatch(start -> start.target().equals(TargetId.of("t2"))));
        advance(30);
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** An instance from which the target did not request a backoff continues to use it. */
    @Test
    void backoffAppliesToOneInstanceOnly() {
        apply(entry, new Event.TargetBackoffRequested(TargetId.of("t1"), 60_000));
        entry = arbiter;
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
        assertEquals(2 * SLOTS, dispatched.size());
    }

    /** A placement in transit when the target's backoff starts is returned, and the request goes to another target. */
    @Test
    void placementAtATargetInBackoffIsReturned() {
        arriveAndBePlacedAtT1(
                TargetId.of("t1"), () -> apply(entry, new Event.TargetBackoffRequested(TargetId.of("t1"), 60_000)));
        advance(100);
        assertEquals(1, dispatched.size());
        assertEquals(TargetId.of("t2"), dispatched.get(0).target());
    }

    /**
     * With all targets in backoff, callers are rejected immediately with the time to retry, since waiting is useless.
     */
    @Test
    void requestIsRejectedWhileAllTargetsAreInBackoff() {
        apply(entry, new Event.TargetBackoffRequested(TargetId.of("t1"), 2_000));
        apply(entry, new Event.TargetBackoffRequested(TargetId.of("t2"), 3_000));
        long request = arrive(true, 2, false);
        assertEquals(ErrorType.TARGETS_REST, failure(request).failure().type());
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertEquals(2_000, failure(request).failure().retryAfterMs());
    }

    /**
     * Guards against an endless loop of placements. One of two targets is in backoff and the arbiter knows that the
     * other is gone, so it places the request at the target in backoff again each time the entry returns the placement.
     * The caller must receive the time to retry immediately.
     */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void targetInBackoffIsNotPlacedRepeatedly() {
        apply(arbiter, new Event.SettingsAccepted(settings("t1")));
        apply(entry, new Event.TargetBackoffRequested(TargetId.of("t1"), 2_000));
        long request = arrive(true, 2, false);
        assertEquals(ErrorType.TARGETS_REST, failure(request).failure().type());
        assertEquals(2_000, failure(request).failure().retryAfterMs());
        assertEquals(0, dispatched.size());
    }

    /** A request is retried at the target that failed it if the only other target is in backoff. */
    @Test
    void failedTargetIsPreferredToOneInBackoff() {
        long request = arrive(true, 3, true);
        TargetId failed = dispatched.get(0).target();
        TargetId resting = TargetId.of(failed.equals(TargetId.of("t1")) ? "t2" : "t1");
        apply(entry, new Event.TargetBackoffRequested(resting, 60_000));
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        advance(100);
        assertEquals(2, dispatched.size());
        assertEquals(failed, dispatched.get(1).target());
    }

    /** With all targets failing, retries stay within the fleet's budget: a share of the requests plus a slack. */
    @Test
    void retriesStayWithinTheBudget() {
        int count = 200;
        for (int i = 0; i < count; i++) {
            long request = arrive(true, 2, false);
            advance(20);
            while (!ends.containsKey(request) && isRunning(request)) {
                end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
            }
        }
        int retried = dispatched.size()
                - (int) dispatched.stream()
                        .mapToLong(Action.Dispatch::requestId)
                        .distinct()
                        .count();
        double bound = RETRY_LIMITS.share() * count + RETRY_LIMITS.slack();
        assertTrue(retried > 0 && retried <= bound, "retries: " + retried + ", bound " + bound);
    }

    /**
     * Guards against fetching cached prompt parts from a target that is gone, whose address may belong to another
     * service by now. The arbiter does not know yet that the target is gone; the assigned target prefills the prompt
     * itself.
     */
    @Test
    void nothingIsFetchedFromATargetThatIsGone() {
        arriveAndBePlacedAtT1(TargetId.of("gone"));
        assertEquals(1, dispatched.size());
        assertEquals(TargetId.of("t1"), dispatched.get(0).target());
        assertNull(dispatched.get(0).fetchFrom());
    }

    @Test
    void entryForwardsTheTargetToFetchFrom() {
        arriveAndBePlacedAtT1(TargetId.of("t2"));
        assertEquals(TargetId.of("t2"), dispatched.get(0).fetchFrom());
    }

    /** Sends a request whose placement the test injects as a message from the arbiter. */
    private void arriveAndBePlacedAtT1(TargetId fetchFrom) {
        arriveAndBePlacedAtT1(fetchFrom, () -> {});
    }

    /** @param meanwhile runs between the placement request and its response */
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
