package org.marjoramswitch.kernel.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

class OutlierEjectionTest {
    private static final int TARGETS = 40;
    private static final int REQUESTS_PER_SECOND = 25;
    private static final int FREE_SLOTS = 32;

    private final PoolFaultRate pool = PoolFaultRate.create();
    private final List<OutlierEjection> targets = new ArrayList<>();
    private final Random random = new Random(1);
    private long nowMs = 10_000;

    OutlierEjectionTest() {
        for (int i = 0; i < TARGETS; i++) {
            targets.add(OutlierEjection.create(pool));
        }
    }

    /**
     * Load pattern: all targets fail 45 of 100 requests for four seconds, then none. Guards against a pool of which most
     * is ejected for seconds after the fault has ended.
     */
    @Test
    void poolThatFailsAsAWholeIsNotEjected() {
        run(4_000, target -> random.nextInt(100) < 45);
        long usable = targets.stream()
                .filter(target -> target.allowed(FREE_SLOTS, 0, nowMs) == FREE_SLOTS)
                .count();
        assertTrue(usable >= TARGETS * 3 / 4, "usable at the end of the fault: " + usable);
        nowMs += 1_000;
        run(1_000, target -> false);
        assertTrue(targets.stream().allMatch(target -> target.allowed(FREE_SLOTS, 0, nowMs) == FREE_SLOTS));
    }

    /** Load pattern: four of forty targets fail all requests. Guards against using them because the pool has faults. */
    @Test
    void targetsThatFailAloneAreEjected() {
        run(2_000, target -> target < 4);
        for (int target = 0; target < TARGETS; target++) {
            assertEquals(target < 4, targets.get(target).allowed(FREE_SLOTS, 1, nowMs) == 0, "target " + target);
        }
    }

    /** Guards against targets that refuse connections and stay in use since they are most of the pool. */
    @Test
    void targetsThatRefuseConnectionsAreEjectedAfterThreeFaultsEach() {
        for (OutlierEjection target : targets) {
            for (int i = 0; i < 3; i++) {
                assertEquals(FREE_SLOTS, target.allowed(FREE_SLOTS, 0, nowMs));
                target.connectionRefused(nowMs);
            }
            assertTrue(target.isEjected(nowMs));
        }
    }

    /** Guards against many requests at a dead target in a pool of two. */
    @Test
    void deadTargetOfASmallPoolIsEjectedAfterThreeFaults() {
        for (int i = 0; i < 100; i++) {
            targets.get(1).succeeded(nowMs);
        }
        for (int i = 0; i < 3; i++) {
            assertFalse(targets.get(0).isEjected(nowMs));
            targets.get(0).failed(nowMs);
            targets.get(1).succeeded(nowMs);
        }
        assertTrue(targets.get(0).isEjected(nowMs));
    }

    /**
     * Guards against a crashed target that gets all waiting requests for the rest of its ejection: the response to a
     * request that was sent before the crash is read after the first refused connections.
     */
    @Test
    void responseThatIsReadDuringTheEjectionDoesNotEndIt() {
        OutlierEjection target = targets.get(0);
        for (int i = 0; i < 3; i++) {
            target.connectionRefused(nowMs);
        }
        nowMs += 50;
        target.succeeded(nowMs);
        assertEquals(0, target.allowed(FREE_SLOTS, 1, nowMs));
        for (int i = 0; i < 10; i++) {
            target.connectionRefused(nowMs);
        }
        assertEquals(0, target.allowed(FREE_SLOTS, 0, nowMs));
        nowMs += 1_000;
        assertEquals(1, target.allowed(FREE_SLOTS, 0, nowMs));
        target.succeeded(nowMs);
        assertEquals(FREE_SLOTS, target.allowed(FREE_SLOTS, 0, nowMs));
    }

    private void run(long forMs, IntPredicate fails) {
        long stepMs = 1_000 / REQUESTS_PER_SECOND;
        for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += stepMs) {
            for (int i = 0; i < TARGETS; i++) {
                OutlierEjection target = targets.get(i);
                if (target.allowed(FREE_SLOTS, 0, nowMs) == 0) {
                    continue;
                }
                if (fails.test(i)) {
                    target.failed(nowMs);
                } else {
                    target.succeeded(nowMs);
                }
            }
        }
    }
}
