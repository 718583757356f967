package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Responses that have begun and whose targets then fall silent. */
class StalledResponseTest extends PlacementFleet {
    private static final int MAX_STALLED = 20;

    /** Guards against waiting for a silent target although another one may continue the response. */
    @Test
    void responseIsContinuedByAnotherTarget() {
        long request = stalled(true, 2);
        assertEquals(List.of(request), endedAsSilent);
        end(request, TargetOutcome.SILENT_IN_ANSWER);
        advance(20);
        assertEquals(2, dispatched.size());
    }

    /** Guards against ending a response that no further attempt may continue. */
    @Test
    void responseGoesOnIfItsAttemptsAreUsedUp() {
        assertGoesOn(stalled(true, 1));
    }

    /** Guards against ending a response that cannot be continued. */
    @Test
    void responseGoesOnIfItIsNotResumable() {
        assertGoesOn(stalled(false, 2));
    }

    /** Guards against ending a response although its target is the only one. */
    @Test
    void responseGoesOnIfThereIsNoOtherTarget() {
        targets("t1");
        assertGoesOn(stalled(true, 2));
    }

    /** Guards against ending a response whose retry the budget does not allow. */
    @Test
    void responseGoesOnIfTheRetryBudgetIsSpent() {
        // Each silent attempt takes a second slot, so that slots are left when the budget is spent.
        targets(IntStream.range(0, MAX_STALLED).mapToObj(i -> "t" + i).toArray(String[]::new));
        while (endedAsSilent.size() == dispatched.size()) {
            assertTrue(requests < MAX_STALLED);
            stalled(true, 2);
        }
        assertTrue(isRunning(requests));
        assertGoesOn(requests);
    }

    /** Guards against taking a retry from the budget each time that a target is reported as silent. */
    @Test
    void retryIsTakenOnce() {
        long first = stalled(true, 2);
        for (int i = 0; i < 100; i++) {
            apply(entry, new Event.TargetSilent(first, true));
        }
        long second = stalled(true, 2);
        assertEquals(1, endedAsSilent.stream().filter(ended -> ended == second).count());
    }

    private long stalled(boolean resumable, int attempts) {
        long request = arrive(true, attempts, resumable);
        apply(entry, new Event.TargetAnswering(request));
        apply(entry, new Event.TargetSilent(request, true));
        return request;
    }

    private void assertGoesOn(long request) {
        assertEquals(0, endedAsSilent.stream().filter(ended -> ended == request).count());
        advance(1_000);
        assertNull(ends.get(request));
    }
}
