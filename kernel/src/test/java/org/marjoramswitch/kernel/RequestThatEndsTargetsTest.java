package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/**
 * Callers see answers break off by the dozen, again and again: a target ends, with all that it runs, each time that one
 * certain request begins to run there. The request comes again under new names, at any instance; every instance takes it
 * for a new one and sends it on, twice where it may be repeated. Proof: the ends of targets had one digest in common.
 */
class RequestThatEndsTargetsTest extends PlacementFleet {
    private static final String[] TARGETS = {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"};
    private static final long HARMFUL = 666;
    /** What the users grant: so many targets end before it has to be known, then so many more sends. */
    private static final int TARGETS_ENDED_UNTIL_KNOWN = 3;

    private static final int MOST_SENDS_AFTERWARDS = 3;
    private static final long TIME_TO_TELL_MS = 3_000;

    private final Set<TargetId> endedTargets = new HashSet<>();
    private int judged;

    @BeforeEach
    void nineTargets() {
        targets(TARGETS);
    }

    @Test
    void itIsSentNoFurtherFromAnyInstance() {
        comeUntilKnown();
        pass(TIME_TO_TELL_MS);
        int sentBefore = dispatched.size();
        for (int i = 0; i < 12; i++) {
            comeAt(INSTANCES.get(i % INSTANCES.size()));
            pass(500);
        }
        assertSentLittleAfter(sentBefore);
    }

    /** The last one is sent to no target that runs others' requests: its caller hears at once that it has not run. */
    @Test
    void itsCallerIsToldAtOnceThatItHasNotRun() {
        comeUntilKnown();
        pass(TIME_TO_TELL_MS);
        long last = 0;
        for (int i = 0; i <= MOST_SENDS_AFTERWARDS; i++) {
            last = comeAt(INSTANCES.get(i % INSTANCES.size()));
        }
        assertEquals(RunState.NOT_RUN, failure(last).failure().run());
        assertTrue(failure(last).failure().retryAfterMs() > 0);
    }

    /** Each instance is replaced in turn; what the fleet has learned must outlive any of them. */
    @Test
    void itIsKnownAfterEveryInstanceHasStartedAnew() {
        comeUntilKnown();
        for (InstanceId id : INSTANCES) {
            pass(TIME_TO_TELL_MS);
            restart(id, 2, TARGETS);
        }
        pass(TIME_TO_TELL_MS);
        int sentBefore = dispatched.size();
        for (int i = 0; i < 12; i++) {
            comeAt(INSTANCES.get(i % INSTANCES.size()));
            pass(500);
        }
        assertSentLittleAfter(sentBefore);
    }

    /** Requests that only ran beside it are served, though the first targets of many of them ended under them. */
    @Test
    void whatRanBesideItIsServed() {
        for (int i = 0; i < 6; i++) {
            entry = INSTANCES.get(i % INSTANCES.size());
            long bystander = arrive(true, 4, true, 1_000 + i);
            comeAt(INSTANCES.get((i + 1) % INSTANCES.size()));
            entry = INSTANCES.get(i % INSTANCES.size());
            end(bystander, TargetOutcome.BROKEN_IN_ANSWER);
            assertTrue(isRunning(bystander), "the request is not sent again");
            end(bystander, TargetOutcome.COMPLETED);
            assertTrue(ends.get(bystander) instanceof Action.Complete);
            pass(RESENDS.windowMs());
        }
    }

    /** Many callers ask the same thing; a target that ends under them all says nothing of it, since it is served too. */
    @Test
    void whatIsServedAsOftenIsNoneOfThem() {
        for (int i = 0; i < 12; i++) {
            entry = INSTANCES.get(i % INSTANCES.size());
            long broken = arrive(true, 1, false, 7);
            end(broken, TargetOutcome.BROKEN_BEFORE_ANSWER);
            long served = arrive(true, 1, false, 7);
            end(served, TargetOutcome.COMPLETED);
            assertTrue(ends.get(served) instanceof Action.Complete, "refused though it is served");
            pass(100);
        }
    }

    private void comeUntilKnown() {
        for (int i = 0; endedTargets.size() < TARGETS_ENDED_UNTIL_KNOWN; i++) {
            comeAt(INSTANCES.get(i % INSTANCES.size()));
            pass(300);
        }
    }

    /** The request comes once; each target that it is sent to ends, and is replaced by one of another name. */
    private long comeAt(InstanceId instance) {
        entry = instance;
        long request = arrive(true, 2, true, HARMFUL);
        while (judged < dispatched.size()) {
            Action.Dispatch sent = dispatched.get(judged++);
            if (sent.requestId() == request) {
                endedTargets.add(sent.target());
                end(request, TargetOutcome.BROKEN_BEFORE_ANSWER);
            }
        }
        return request;
    }

    private void assertSentLittleAfter(int sentBefore) {
        int after = dispatched.size() - sentBefore;
        assertTrue(after <= MOST_SENDS_AFTERWARDS, "sent to targets " + after + " times more");
    }
}
