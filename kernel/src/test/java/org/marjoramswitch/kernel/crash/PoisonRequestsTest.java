package org.marjoramswitch.kernel.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.TargetId;

class PoisonRequestsTest {
    private static final long DIGEST = 7;
    private static final long MINUTE_MS = 60_000;

    private final PoisonRequests poisonRequests = PoisonRequests.create();

    @Test
    void threeCrashesBlockARequestForOneMinute() {
        crash("t1", 0);
        crash("t2", 0);
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 0));
        crash("t3", 10);
        assertEquals(MINUTE_MS, poisonRequests.blockedForMs(DIGEST, 10));
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 10 + MINUTE_MS));
    }

    /** Several instances or connections may observe the same crash of one target. */
    @Test
    void sameCrashIsCountedOnce() {
        assertTrue(crash("t1", 0));
        assertFalse(crash("t1", 200));
        assertFalse(poisonRequests.add(new RequestCrash(DIGEST, TargetId.of("t1"), 300), 300));
        assertEquals(1, poisonRequests.crashCount(DIGEST));
    }

    /** A target that restarted under the same id and crashes again counts as a second crash. */
    @Test
    void repeatedCrashOfOneTargetIsCounted() {
        crash("t1", 0);
        crash("t1", 5_000);
        assertTrue(crash("t1", 10_000));
        assertTrue(poisonRequests.blockedForMs(DIGEST, 10_000) > 0);
    }

    @Test
    void servedRequestIsCleared() {
        crash("t1", 0);
        crash("t2", 0);
        crash("t3", 0);
        assertTrue(poisonRequests.clear(DIGEST));
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 0));
        assertFalse(poisonRequests.clear(DIGEST));
    }

    /**
     * After a block one request is admitted at a time; if a target crashes again, the next block is eight times as
     * long.
     */
    @Test
    void trialFollowsABlock() {
        crash("t1", 0);
        crash("t2", 0);
        crash("t3", 0);
        long trialMs = MINUTE_MS;
        poisonRequests.admitted(DIGEST, trialMs);
        assertTrue(poisonRequests.blockedForMs(DIGEST, trialMs + 1) > 0);
        crash("t4", trialMs + 300);
        assertEquals(8 * MINUTE_MS, poisonRequests.blockedForMs(DIGEST, trialMs + 300));
    }

    /**
     * A connection reset under thousands of requests must not evict the record of a request that crashed three targets.
     */
    @Test
    void manyOtherRecordsDoNotEvictABlockedRequest() {
        crash("t1", 0);
        crash("t2", 0);
        crash("t3", 0);
        for (int i = 0; i < 5_000; i++) {
            poisonRequests.add(new RequestCrash(1_000 + i, TargetId.of("t4"), 0), 1);
        }
        assertTrue(poisonRequests.blockedForMs(DIGEST, 1) > 0);
        assertTrue(poisonRequests.all(1).size() < 1_100);
    }

    @Test
    void crashExpires() {
        crash("t1", 0);
        crash("t2", 0);
        long muchLaterMs = 11 * MINUTE_MS;
        crash("t3", muchLaterMs);
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, muchLaterMs));
    }

    private boolean crash(String target, long nowMs) {
        return poisonRequests.add(new RequestCrash(DIGEST, TargetId.of(target), 0), nowMs);
    }
}
