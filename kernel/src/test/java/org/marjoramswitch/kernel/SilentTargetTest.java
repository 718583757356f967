package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Targets that fall silent within a response. */
class SilentTargetTest extends PlacementFleet {
    private static final int ATTEMPTS = 3;
    private static final int SILENT_REQUESTS = 40;
    private static final int MANY_TARGETS = 20;
    private static final long BACKOFF_MS = 2_000;
    /** Longer than a reserved slot is kept. */
    private static final long LATE_END_MS = 1_500;
    /** Longer than an arbiter holds a late request. */
    private static final long ARBITER_HOLD_MS = 2_500;

    /** Guards against ending a stream that only its target can continue, because the report of its beginning was lost. */
    @Test
    void streamIsKeptIfNoOtherTargetHasItsVersion() {
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings(Map.of("t1", "1", "t2", "2")))));
        long request = arrive(true, ATTEMPTS, true);
        assertTrue(isRunning(request));
        assertFalse(isEndedAsSilent(request));
    }

    /** Guards against spending the retry budget on targets that went on before their attempts were ended. */
    @Test
    void retryThatWasNotUsedIsAvailableAgain() {
        for (int i = 0; i < SILENT_REQUESTS; i++) {
            long request = arrive(true, ATTEMPTS, true);
            apply(entry, new Event.TargetAnswering(request));
            assertTrue(isEndedAsSilent(request), "request " + request);
            end(request, TargetOutcome.COMPLETED);
        }
        long request = arrive(true, ATTEMPTS, true);
        int sent = dispatched.size();
        end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(sent + 1, dispatched.size());
    }

    /** Guards against ending a request before its response although no other attempt may follow. */
    @Test
    void requestIsKeptBeforeItsResponseIfNoAttemptIsLeft() {
        assertFalse(isEndedAsSilent(arrive(true, 1, true), false));
        assertTrue(isEndedAsSilent(arrive(true, 2, true), false));
    }

    /** Guards against running a request twice that may run once, because its target was silent at first. */
    @Test
    void requestThatMayRunOnceIsKeptBeforeItsResponse() {
        assertFalse(isEndedAsSilent(arrive(false, ATTEMPTS, true), false));
    }

    /** Guards against ending a request because its target is silent although no other target has a free slot. */
    @Test
    void requestIsKeptIfNoOtherTargetHasAFreeSlot() {
        fillTargets();
        int sent = dispatched.size();
        assertFalse(isEndedAsSilent(1, false));
        advance(CALLER_TIMEOUT_MS / 2);
        assertFalse(endedAsSilent.contains(1L));
        end(1, TargetOutcome.COMPLETED);
        assertTrue(ends.get(1L) instanceof Action.Complete);
        assertEquals(sent, dispatched.size());
    }

    /** Guards against ending a response that has begun although no other target has a free slot to continue it. */
    @Test
    void responseIsKeptIfNoOtherTargetHasAFreeSlot() {
        fillTargets();
        apply(entry, new Event.TargetAnswering(1));
        assertFalse(isEndedAsSilent(1, true));
        advance(CALLER_TIMEOUT_MS / 2);
        assertFalse(endedAsSilent.contains(1L));
    }

    /** Guards against a second attempt that is rejected after the silent one was ended, since its slot was taken meanwhile. */
    @Test
    void slotOfTheNextAttemptIsTakenBeforeTheSilentOneEnds() {
        long silent = arrive(true, ATTEMPTS, true);
        assertTrue(isEndedAsSilent(silent, false));
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, ATTEMPTS, true);
        }
        int sent = dispatched.size();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        assertTrue(dispatched.stream().skip(sent).anyMatch(next -> next.requestId() == silent));
    }

    /** Guards against slots that stay taken because a target went on before its attempt was ended. */
    @Test
    void slotThatIsNotUsedIsFreeAgain() {
        long silent = arrive(true, ATTEMPTS, true);
        assertTrue(isEndedAsSilent(silent, false));
        advance(CALLER_TIMEOUT_MS / 2);
        for (int i = 1; i < 2 * SLOTS; i++) {
            assertTrue(isRunning(arrive(true, ATTEMPTS, true)), "request " + i);
        }
    }

    /** Guards against slots that stay taken after the response was completed before its attempt was ended. */
    @Test
    void slotIsFreeAfterTheSilentTargetCompletedItsResponse() {
        long silent = arrive(true, ATTEMPTS, true);
        assertTrue(isEndedAsSilent(silent, false));
        end(silent, TargetOutcome.COMPLETED);
        for (int i = 0; i < 2 * SLOTS; i++) {
            assertTrue(isRunning(arrive(true, ATTEMPTS, true)), "request " + i);
        }
    }

    /** Guards against spending the retry budget on attempts that could not begin. */
    @Test
    void retryIsAvailableAgainIfNoOtherTargetHadAFreeSlot() {
        fillTargets();
        for (int i = 0; i < SILENT_REQUESTS; i++) {
            assertFalse(isEndedAsSilent(1, false));
            advance(400);
        }
        assertFalse(endedAsSilent.contains(1L));
    }

    /** Guards against retries that stay taken because the link to the arbiter broke while a slot was requested. */
    @Test
    void retryIsAvailableAgainAfterTheLinkToTheArbiterBroke() {
        targets(IntStream.range(0, MANY_TARGETS).mapToObj(i -> "t" + i).toArray(String[]::new));
        for (int i = 0; i < MANY_TARGETS; i++) {
            long silent = arrive(true, ATTEMPTS, true);
            assertTrue(isRunning(silent), "request " + silent);
            frozen.add(arbiter);
            assertFalse(isEndedAsSilent(silent, false));
            apply(entry, new Event.PeerLinkChanged(arbiter, true));
            frozen.remove(arbiter);
            deliver();
        }
        int sent = dispatched.size();
        end(arrive(true, ATTEMPTS, true), TargetOutcome.BROKEN_BEFORE_ANSWER);
        assertEquals(sent + 2, dispatched.size());
    }

    /** Guards against ending a request as unknown because the link to the arbiter broke while its silent attempt ended. */
    @Test
    void requestWaitsForAnotherSlotAfterTheLinkToTheArbiterBroke() {
        long silent = silentRequest();
        apply(entry, new Event.PeerLinkChanged(arbiter, true));
        assertWaitsForASlot(silent);
    }

    /** Guards against ending a request as unknown because its silent attempt ended after the reserved slot was released. */
    @Test
    void requestWaitsForAnotherSlotIfItsAttemptEndsLate() {
        long silent = silentRequest();
        advance(LATE_END_MS);
        assertWaitsForASlot(silent);
    }

    /** Guards against ending a request as unknown because all targets entered a backoff while its silent attempt ended. */
    @Test
    void requestWaitsForTheEndOfABackoff() {
        long silent = silentRequest();
        backOff("t1", "t2");
        int sent = dispatched.size();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        advance(BACKOFF_MS / 2);
        assertFalse(ends.containsKey(silent));
        assertEquals(sent, dispatched.size());
        advance(BACKOFF_MS);
        assertEquals(silent, dispatched.get(sent).requestId());
    }

    /** Guards against requests that wait for a slot for longer than their callers do, or that end as not run. */
    @Test
    void waitForASlotEndsWithTheDeadline() {
        long silent = silentRequest();
        advance(LATE_END_MS);
        takeFreeSlots();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        advance(callerTimeoutMs);
        assertEquals(RunState.UNKNOWN, failure(silent).failure().run());
        assertEquals(ErrorType.WAIT_TIMEOUT, failure(silent).failure().type());
    }

    /** Guards against a slot for a request whose caller has left while it waited for one. */
    @Test
    void callerMayLeaveDuringTheWaitForASlot() {
        long silent = silentRequest();
        advance(LATE_END_MS);
        takeFreeSlots();
        int sent = dispatched.size();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        advance(ARBITER_HOLD_MS);
        apply(entry, new Event.CallerGone(silent));
        assertEquals(ErrorType.CALLER_GONE, failure(silent).failure().type());
        completeAllBut(silent);
        advance(CALLER_TIMEOUT_MS);
        assertEquals(sent, dispatched.size());
    }

    /** Guards against ending a request for lack of a retry because others took it after the reserved slot was released. */
    @Test
    void retryIsKeptUntilTheSilentAttemptEnds() {
        long silent = silentRequest();
        advance(LATE_END_MS);
        for (int i = 0; i < SILENT_REQUESTS; i++) {
            long broken = arrive(true, ATTEMPTS, true);
            end(broken, TargetOutcome.BROKEN_BEFORE_ANSWER);
            end(broken, TargetOutcome.COMPLETED);
        }
        int sent = dispatched.size();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        assertFalse(ends.containsKey(silent));
        assertEquals(sent + 1, dispatched.size());
    }

    /** A running request, the end of whose silent attempt was requested. */
    private long silentRequest() {
        callerTimeoutMs = 4 * CALLER_TIMEOUT_MS;
        long silent = arrive(true, ATTEMPTS, true);
        assertTrue(isEndedAsSilent(silent, false));
        return silent;
    }

    private void assertWaitsForASlot(long silent) {
        takeFreeSlots();
        int sent = dispatched.size();
        end(silent, TargetOutcome.SILENT_BEFORE_ANSWER);
        advance(ARBITER_HOLD_MS);
        assertFalse(ends.containsKey(silent), () -> String.valueOf(ends.get(silent)));
        assertEquals(sent, dispatched.size());
        completeAllBut(silent);
        advance(ARBITER_HOLD_MS);
        assertEquals(silent, dispatched.get(sent).requestId());
    }

    private void takeFreeSlots() {
        for (int i = 1; i < 2 * SLOTS; i++) {
            assertTrue(isRunning(arrive(true, ATTEMPTS, true)), "request " + i);
        }
    }

    private void completeAllBut(long silent) {
        for (long request = silent + 1; request <= requests; request++) {
            end(request, TargetOutcome.COMPLETED);
        }
    }

    private void backOff(String... names) {
        for (String name : names) {
            apply(entry, new Event.TargetBackoffRequested(TargetId.of(name), BACKOFF_MS));
        }
    }

    private void fillTargets() {
        callerTimeoutMs = 60_000;
        for (int i = 0; i < 2 * SLOTS; i++) {
            assertTrue(isRunning(arrive(true, ATTEMPTS, true)));
        }
    }

    private boolean isEndedAsSilent(long request) {
        return isEndedAsSilent(request, true);
    }

    private boolean isEndedAsSilent(long request, boolean answerBegun) {
        int ended = endedAsSilent.size();
        apply(entry, new Event.TargetSilent(request, answerBegun));
        return endedAsSilent.size() > ended;
    }
}
