package org.marjoramswitch.kernel.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.crash.CrashSuspects;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

class StopPolicyTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final long NOW_MS = 100_000;
    private static final long DRAIN_ENDS_MS = NOW_MS + 6_800;
    private static final long FAR_DEADLINE_MS = NOW_MS + 8_000;
    private static final int MANY_REQUESTS = 200;
    private static final String ROUTE = "route";
    private static final String OTHER_ROUTE = "other";
    /** Runs that make the route of a repeatable request known, and that of a request that may run once. */
    private static final int RUNS_REPEATABLE = 10;

    private static final int RUNS_ONCE = 20;

    private final Map<PoolId, PoolQueues> pools = new TreeMap<>();
    private final List<EntryRequest> open = new ArrayList<>();
    private final StopPolicy policy = StopPolicy.of(this::pool, open);

    @Test
    void anyRequestIsAcceptedBeforeTheStop() {
        assertTrue(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertTrue(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    @Test
    void requestOfAnUnknownPoolNeedsADeadlineBeforeTheEndOfTheDrain() {
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(DRAIN_ENDS_MS), NOW_MS));
        assertFalse(policy.maySend(spec(DRAIN_ENDS_MS), NOW_MS));
        assertTrue(policy.mayAccept(spec(DRAIN_ENDS_MS - 500), NOW_MS));
        assertTrue(policy.maySend(spec(DRAIN_ENDS_MS - 500), NOW_MS));
    }

    /** Guards against accepting a request whose run would be cut at the end of the drain. */
    @Test
    void requestIsRejectedOnceTheLongestRecentOneWouldNotEndInTime() {
        ended(NOW_MS - 4_500, NOW_MS - 4_500, NOW_MS);
        policy.stop(DRAIN_ENDS_MS);
        assertTrue(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS + 900));
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS + 1_200));
    }

    /** Guards against taking the short runs of one route for those of another route of the same pool. */
    @Test
    void runsOfAnotherRouteDoNotShowHowLongARouteTakes() {
        ended(spec(FAR_DEADLINE_MS).withRoute(OTHER_ROUTE), 100, RUNS_ONCE);
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
        assertTrue(policy.mayAccept(spec(FAR_DEADLINE_MS).withRoute(OTHER_ROUTE), NOW_MS));
        assertTrue(policy.maySend(spec(FAR_DEADLINE_MS).withRoute(OTHER_ROUTE), NOW_MS));
    }

    /** Guards against taking the runs of one pool of a route for those of another pool, whose targets may be slower. */
    @Test
    void runsInAnotherPoolDoNotShowHowLongARouteTakes() {
        ended(spec(FAR_DEADLINE_MS, PoolId.of("pool-2"), false), 100, RUNS_ONCE);
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    /** Guards against rejecting the short requests of a route because another route of the pool takes long. */
    @Test
    void longRunsOfAnotherRouteDoNotCount() {
        ended(spec(FAR_DEADLINE_MS), 100, RUNS_ONCE);
        ended(spec(FAR_DEADLINE_MS).withRoute(OTHER_ROUTE), 6_000, RUNS_ONCE);
        RequestSpec other = spec(FAR_DEADLINE_MS).withRoute(OTHER_ROUTE);
        open.add(sent(other, NOW_MS - 6_500, NOW_MS - 6_500));
        RequestSpec spec = spec(FAR_DEADLINE_MS);
        open.add(new EntryRequest(spec, CrashSuspects.of(spec), false, NOW_MS));
        policy.stop(DRAIN_ENDS_MS);
        assertTrue(policy.mayAccept(spec, NOW_MS));
        assertTrue(policy.maySend(spec, NOW_MS));
        assertFalse(policy.mayAccept(other, NOW_MS));
        assertEquals(List.of(), policy.unfinishable(NOW_MS));
    }

    /** Guards against taking a few runs for the distribution of a route's runs. */
    @Test
    void routeWithFewCompleteRunsNeedsMoreHeadroom() {
        RequestSpec repeatable = spec(FAR_DEADLINE_MS, POOL, true);
        policy.stop(DRAIN_ENDS_MS);
        ended(repeatable, 2_000, 1);
        for (int i = 0; i < RUNS_ONCE; i++) {
            policy.ended(sent(repeatable, NOW_MS - 2_000, NOW_MS - 2_000), false, NOW_MS);
        }
        assertFalse(policy.mayAccept(repeatable, NOW_MS));
        assertFalse(policy.maySend(repeatable, NOW_MS));
        ended(repeatable, 2_000, RUNS_REPEATABLE - 1);
        assertTrue(policy.mayAccept(repeatable, NOW_MS));
        assertTrue(policy.maySend(repeatable, NOW_MS));
    }

    /** Guards against rejecting at once what takes milliseconds, at an instance that has run little of it. */
    @Test
    void shortRunsAreAcceptedAfterASingleOne() {
        policy.stop(DRAIN_ENDS_MS);
        ended(spec(FAR_DEADLINE_MS), 100, 1);
        assertTrue(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertTrue(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    /** Guards against cutting a request that may run once, whose outcome its caller cannot learn, on little evidence. */
    @Test
    void requestThatMayRunOnceNeedsMoreCompleteRuns() {
        policy.stop(DRAIN_ENDS_MS);
        ended(spec(FAR_DEADLINE_MS), 5_100, RUNS_ONCE - 1);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
        ended(spec(FAR_DEADLINE_MS), 5_100, 1);
        assertTrue(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertTrue(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    /** Guards against sending after a wait what would be cut; the wait before it no longer counts. */
    @Test
    void sentRequestNeedsTimeForItsRunOnly() {
        ended(NOW_MS - 6_000, NOW_MS - 2_000, NOW_MS);
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertTrue(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS + 4_000));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS + 4_500));
    }

    /** Guards against counting only ended requests where runs have become longer. */
    @Test
    void runningRequestCountsWithItsPresentDuration() {
        ended(NOW_MS - 100, NOW_MS - 100, NOW_MS);
        open.add(sent(NOW_MS - 6_000, NOW_MS - 6_000));
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    /** Guards against taking the present duration of a run that has just begun for the time that runs of its pool take. */
    @Test
    void runningRequestDoesNotShowHowLongRunsOfAnUnknownPoolTake() {
        open.add(sent(NOW_MS - 10, NOW_MS - 10));
        policy.stop(DRAIN_ENDS_MS);
        assertFalse(policy.mayAccept(spec(FAR_DEADLINE_MS), NOW_MS));
        assertFalse(policy.maySend(spec(FAR_DEADLINE_MS), NOW_MS));
    }

    /** Guards against a decision thread that is busy with each tick of the stop while thousands of requests wait. */
    @Test
    void eachCheckOfAllWaitingRequestsGoesThroughThemOnce() {
        AtomicLong visited = new AtomicLong();
        for (int i = 0; i < MANY_REQUESTS; i++) {
            RequestSpec waiting = spec(FAR_DEADLINE_MS);
            open.add(new EntryRequest(waiting, CrashSuspects.of(waiting), false, NOW_MS));
        }
        open.add(sent(NOW_MS - 100, NOW_MS - 100));
        StopPolicy counted = StopPolicy.of(this::pool, new AbstractCollection<>() {
            @Override
            public Iterator<EntryRequest> iterator() {
                Iterator<EntryRequest> each = open.iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return each.hasNext();
                    }

                    @Override
                    public EntryRequest next() {
                        visited.incrementAndGet();
                        return each.next();
                    }
                };
            }

            @Override
            public int size() {
                return open.size();
            }
        });
        counted.stop(DRAIN_ENDS_MS);
        assertEquals(MANY_REQUESTS, counted.unfinishable(NOW_MS).size());
        ended(NOW_MS - 500, NOW_MS - 500, NOW_MS);
        assertEquals(0, counted.unfinishable(NOW_MS).size());
        assertTrue(visited.get() <= 4L * open.size(), visited + " visited");
    }

    /** Guards against a check of all waiting requests that differs from the check of one of them. */
    @Test
    void waitingRequestIsUnfinishableOnceItMayNotBeSent() {
        ended(NOW_MS - 100, NOW_MS - 100, NOW_MS);
        RequestSpec spec = spec(FAR_DEADLINE_MS);
        EntryRequest waiting = new EntryRequest(spec, CrashSuspects.of(spec), false, NOW_MS);
        open.add(waiting);
        open.add(sent(NOW_MS - 2_000, NOW_MS - 2_000));
        assertEquals(List.of(), policy.unfinishable(NOW_MS));
        policy.stop(DRAIN_ENDS_MS);
        for (long atMs = NOW_MS; atMs < DRAIN_ENDS_MS; atMs += 50) {
            assertEquals(policy.maySend(spec, atMs) ? List.of() : List.of(waiting), policy.unfinishable(atMs));
        }
    }

    @Test
    void requestsThatAreNotPlacedAreNotLimited() {
        policy.stop(DRAIN_ENDS_MS);
        RequestSpec granted = new RequestSpec(1, CustomerId.of("a"), POOL, 3, false, 10, 0, 0, FAR_DEADLINE_MS);
        assertTrue(policy.mayAccept(granted, NOW_MS));
        assertTrue(policy.maySend(granted, NOW_MS));
    }

    @Test
    void durationsAreForgottenAfterTwoWindows() {
        RecentDurations durations = RecentDurations.create();
        assertEquals(RecentDurations.NONE, durations.longestMs(NOW_MS));
        durations.record(500, true, NOW_MS);
        durations.record(200, true, NOW_MS + 1_000);
        assertEquals(500, durations.longestMs(NOW_MS + RecentDurations.WINDOW_MS - 1));
        durations.record(100, true, NOW_MS + RecentDurations.WINDOW_MS);
        assertEquals(500, durations.longestMs(NOW_MS + RecentDurations.WINDOW_MS + 1));
        assertEquals(100, durations.longestMs(NOW_MS + 2 * RecentDurations.WINDOW_MS));
        assertEquals(RecentDurations.NONE, durations.longestMs(NOW_MS + 4 * RecentDurations.WINDOW_MS));
    }

    /** Guards against keeping a duration for three windows if it is asked for at the end of the second one. */
    @Test
    void readingADurationDoesNotExtendItsWindow() {
        RecentDurations durations = RecentDurations.create();
        durations.record(500, true, NOW_MS);
        assertEquals(500, durations.longestMs(NOW_MS + 2 * RecentDurations.WINDOW_MS - 1));
        assertEquals(RecentDurations.NONE, durations.longestMs(NOW_MS + 2 * RecentDurations.WINDOW_MS));
    }

    private PoolQueues pool(PoolId id) {
        return pools.computeIfAbsent(id, missing -> new PoolQueues(missing, "entry-1"));
    }

    /** Ends as many complete runs as make the route known. */
    private void ended(long arrivedAtMs, long sentAtMs, long nowMs) {
        for (int i = 0; i < RUNS_ONCE; i++) {
            policy.ended(sent(arrivedAtMs, sentAtMs), true, nowMs);
        }
    }

    private void ended(RequestSpec spec, long runMs, int runs) {
        for (int i = 0; i < runs; i++) {
            policy.ended(sent(spec, NOW_MS - runMs, NOW_MS - runMs), true, NOW_MS);
        }
    }

    private static EntryRequest sent(long arrivedAtMs, long sentAtMs) {
        return sent(spec(FAR_DEADLINE_MS), arrivedAtMs, sentAtMs);
    }

    private static EntryRequest sent(RequestSpec spec, long arrivedAtMs, long sentAtMs) {
        EntryRequest request = new EntryRequest(spec, CrashSuspects.of(spec), false, arrivedAtMs);
        request.attemptStarted(TargetId.of("t-1"), "v1", CellId.of(POOL, 0), 1, sentAtMs);
        return request;
    }

    private static RequestSpec spec(long deadlineMs) {
        return spec(deadlineMs, POOL, false);
    }

    private static RequestSpec spec(long deadlineMs, PoolId pool, boolean repeatable) {
        PlacementSpec placement = PlacementSpec.plain(NOW_MS + 400, 1);
        return new RequestSpec(1, CustomerId.of("a"), pool, 3, repeatable, 10, 0, 0, deadlineMs, placement)
                .withRoute(ROUTE);
    }
}
