package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Placed requests at an instance in its planned stop: only what can end before the drain does is run. */
class PlannedStopTest extends PlacementFleet {
    private static final long STOP_MS = 4_000;
    private static final long RUN_MS = 1_500;
    /** Complete runs that make a route known, also for requests that may run once. */
    private static final int KNOWN_RUNS = 20;

    /** Deadlines fall after the end of the drain. */
    @BeforeEach
    void extendDeadlines() {
        callerTimeoutMs = 3 * STOP_MS;
    }

    /** Guards against accepting requests that the end of the drain would cut. */
    @Test
    void requestThatCannotEndInTimeIsRejectedOnArrival() {
        completeAfter(RUN_MS);
        stop();
        long early = arrive(false, 1, false);
        advance(STOP_MS / 2);
        long late = arrive(false, 1, false);
        assertTrue(isRunning(early));
        assertRejected(late, RunState.NOT_RUN);
    }

    /** Guards against sending a request that has waited for a slot until its run no longer fits into the stop. */
    @Test
    void waitingRequestIsRejectedOnceItsRunNoLongerFits() {
        completeAfter(RUN_MS);
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 1, false);
        }
        // With a late objective the arbiter keeps it until a slot is free.
        long waiting = arrive(PlacementSpec.plain(nowMs + 2 * STOP_MS, 1));
        stop();
        assertFalse(isRunning(waiting));
        assertNull(ends.get(waiting));
        advance(STOP_MS / 2);
        assertRejected(waiting, RunState.NOT_RUN);
        end(waiting - 1, TargetOutcome.COMPLETED);
        advance(100);
        assertFalse(isRunning(waiting));
    }

    /** Guards against a retry that the end of the drain would cut; what may have run is not reported as not run. */
    @Test
    void lateRetryIsNotSent() {
        completeAfter(RUN_MS);
        long broken = arrive(true, 2, false);
        long refused = arrive(true, 2, false);
        stop();
        advance(STOP_MS / 2);
        int sent = dispatched.size();
        end(broken, TargetOutcome.BROKEN_BEFORE_ANSWER);
        end(refused, TargetOutcome.REFUSED);
        advance(100);
        assertEquals(sent, dispatched.size());
        assertRejected(broken, RunState.UNKNOWN);
        assertRejected(refused, RunState.NOT_RUN);
    }

    @Test
    void earlyRetryIsSent() {
        completeAfter(RUN_MS);
        long broken = arrive(true, 2, false);
        stop();
        int sent = dispatched.size();
        end(broken, TargetOutcome.BROKEN_BEFORE_ANSWER);
        advance(100);
        assertEquals(sent + 1, dispatched.size());
    }

    /** Guards against breaking off a stream that another target could continue, since the instance stops. */
    @Test
    void streamIsContinuedInTheStop() {
        completeAfter(RUN_MS);
        long stream = arrive(true, 2, true);
        stop();
        advance(STOP_MS / 2);
        int sent = dispatched.size();
        end(stream, TargetOutcome.BROKEN_IN_ANSWER);
        advance(100);
        assertEquals(sent + 1, dispatched.size());
        assertNull(ends.get(stream));
    }

    /** Guards against breaking off such a stream because its route's runs are not known. */
    @Test
    void streamOfAnUnknownRouteIsContinuedInTheStop() {
        long stream = arrive(true, 2, true);
        stop();
        int sent = dispatched.size();
        end(stream, TargetOutcome.INVALID_IN_ANSWER);
        advance(100);
        assertEquals(sent + 1, dispatched.size());
        assertNull(ends.get(stream));
    }

    /** Guards against attempts at the end of the drain, of which nothing would reach the caller. */
    @Test
    void streamIsNotContinuedAtTheEndOfTheDrain() {
        long stream = arrive(true, 2, true);
        stop();
        advance(STOP_MS - 100);
        int sent = dispatched.size();
        end(stream, TargetOutcome.BROKEN_IN_ANSWER);
        advance(50);
        assertEquals(sent, dispatched.size());
        assertRejected(stream, RunState.UNKNOWN);
    }

    /** Guards against continuing as a stream what has delivered nothing: its caller can go to another instance. */
    @Test
    void streamThatHasNotBegunIsNotRepeatedLateInTheStop() {
        completeAfter(RUN_MS);
        long stream = arrive(true, 2, true);
        stop();
        advance(STOP_MS / 2);
        int sent = dispatched.size();
        end(stream, TargetOutcome.BROKEN_BEFORE_ANSWER);
        advance(100);
        assertEquals(sent, dispatched.size());
        assertRejected(stream, RunState.UNKNOWN);
    }

    /** Guards against an arbiter that stops placing the requests of others because it leaves itself. */
    @Test
    void stoppingArbiterPlacesTheRequestsOfOthers() {
        apply(arbiter, new Event.StopStarted(nowMs + 100));
        long request = arrive(true, 1, false);
        assertTrue(isRunning(request));
    }

    /** Guards against taking the time until a caller left or a target broke off for the time that runs take. */
    @Test
    void runsThatWereBrokenOffDoNotShowHowLongRunsTake() {
        for (int i = 0; i < KNOWN_RUNS; i++) {
            end(arrive(true, 1, false), TargetOutcome.CANCELLED);
            end(arrive(true, 1, false), TargetOutcome.BROKEN_BEFORE_ANSWER);
            end(arrive(true, 1, false), TargetOutcome.SERVER_ERROR);
        }
        stop();
        assertRejected(arrive(true, 1, false), RunState.NOT_RUN);
    }

    /** Guards against ignoring how long a run lasted that was broken off. */
    @Test
    void runThatWasBrokenOffLateShowsThatRunsAreLong() {
        long cancelled = arrive(true, 1, false);
        advance(STOP_MS);
        end(cancelled, TargetOutcome.CANCELLED);
        completeAfter(100);
        stop();
        assertRejected(arrive(true, 1, false), RunState.NOT_RUN);
    }

    private void completeAfter(long runMs) {
        for (int i = 0; i < KNOWN_RUNS; i++) {
            long request = arrive(true, 1, false);
            advance(runMs);
            end(request, TargetOutcome.COMPLETED);
        }
    }

    private void stop() {
        apply(entry, new Event.StopStarted(nowMs + STOP_MS));
    }

    private void assertRejected(long request, RunState run) {
        Action.Fail fail = failure(request);
        Failure failure = fail.failure();
        assertEquals(ErrorType.INSTANCE_LEAVING + " " + run, failure.type() + " " + failure.run());
    }
}
