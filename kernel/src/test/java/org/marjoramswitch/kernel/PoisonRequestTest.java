package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Callers see answers break off by the dozen, again and again: a target ends, with all that it runs, each time that one
 * certain request begins to run there. The request comes again under new names, at any instance; every instance takes it
 * for a new one and sends it on, twice where it may be repeated. Proof: the ends of targets had one digest in common.
 */
class PoisonRequestTest extends PlacementFleet {
    private static final String[] TARGETS = {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"};
    private static final long HARMFUL = 666;
    /** What the users grant: so many targets end before it has to be known, then so many more sends. */
    private static final int TARGETS_ENDED_UNTIL_KNOWN = 3;

    private static final int MOST_SENDS_AFTERWARDS = 3;
    private static final long TIME_TO_TELL_MS = 3_000;

    private final Set<TargetId> endedTargets = new HashSet<>();
    private final Map<Long, InstanceId> harmful = new TreeMap<>();
    private int judged;

    @BeforeEach
    void nineTargets() {
        targets(TARGETS);
    }

    @Test
    void itIsSentNoFurtherFromAnyInstance() {
        comeUntilKnown();
        advance(TIME_TO_TELL_MS);
        assertSentLittleFromNowOn();
    }

    /** The last one is sent to no target that runs others' requests: its caller hears at once that it has not run. */
    @Test
    void itsCallerIsToldAtOnceThatItHasNotRun() {
        comeUntilKnown();
        advance(TIME_TO_TELL_MS);
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
            advance(TIME_TO_TELL_MS);
            restart(id, TARGETS);
        }
        advance(TIME_TO_TELL_MS);
        assertSentLittleFromNowOn();
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
            advance(RETRY_LIMITS.windowMs());
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
            advance(100);
        }
    }

    /**
     * The request and many others come at random instances and times, while single instances start anew or stand still
     * for a second. After a stand-still or a start an instance has as long to catch up as any has to be told.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void itIsSentNoFurtherWhateverHappensMeanwhile(long seed) {
        Random random = new Random(seed);
        comeUntilKnown();
        advance(TIME_TO_TELL_MS);
        int sentBefore = harmfulSends();
        for (int i = 0; i < 30; i++) {
            InstanceId disturbed = INSTANCES.get(random.nextInt(INSTANCES.size()));
            disturb(disturbed, random);
            for (int j = 0; j < 6; j++) {
                InstanceId other = INSTANCES.get(random.nextInt(INSTANCES.size()));
                if (!other.equals(disturbed)) {
                    comeAt(other);
                }
                advance(random.nextInt(200));
                endTargetsThatRunIt();
            }
            frozen.clear();
            advance(TIME_TO_TELL_MS - 1_000 + random.nextInt(1_000));
        }
        int after = harmfulSends() - sentBefore;
        assertTrue(after <= MOST_SENDS_AFTERWARDS, "seed " + seed + ": sent to targets " + after + " times more");
    }

    static LongStream seeds() {
        return LongStream.range(0, 200);
    }

    private void disturb(InstanceId instance, Random random) {
        switch (random.nextInt(3)) {
            case 0 -> restart(instance, TARGETS);
            case 1 -> frozen.add(instance);
            default -> {
                entry = instance;
                long bystander = arrive(true, 2, true, 1_000 + random.nextInt(100));
                end(bystander, random.nextBoolean() ? TargetOutcome.BROKEN_IN_ANSWER : TargetOutcome.COMPLETED);
            }
        }
    }

    private int harmfulSends() {
        return (int) dispatched.stream()
                .filter(sent -> harmful.containsKey(sent.requestId()))
                .count();
    }

    private void comeUntilKnown() {
        for (int i = 0; endedTargets.size() < TARGETS_ENDED_UNTIL_KNOWN; i++) {
            comeAt(INSTANCES.get(i % INSTANCES.size()));
            advance(300);
        }
    }

    /** The request comes once; each target that it is sent to ends, and is replaced by one of another name. */
    private long comeAt(InstanceId instance) {
        entry = instance;
        long request = arrive(true, 2, true, HARMFUL);
        harmful.put(request, instance);
        endTargetsThatRunIt();
        return request;
    }

    private void endTargetsThatRunIt() {
        while (judged < dispatched.size()) {
            Action.Dispatch sent = dispatched.get(judged++);
            InstanceId sender = harmful.get(sent.requestId());
            if (sender != null) {
                endedTargets.add(sent.target());
                apply(sender, new Event.TargetEnded(sent.requestId(), TargetOutcome.BROKEN_BEFORE_ANSWER, Usage.NONE));
            }
        }
    }

    private void assertSentLittleFromNowOn() {
        int sentBefore = dispatched.size();
        for (int i = 0; i < 12; i++) {
            comeAt(INSTANCES.get(i % INSTANCES.size()));
            advance(500);
        }
        int after = dispatched.size() - sentBefore;
        assertTrue(after <= MOST_SENDS_AFTERWARDS, "sent to targets " + after + " times more");
    }
}
