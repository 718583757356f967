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

    private final PoisonRequests records = PoisonRequests.create();

    @Test
    void threeTargetsBlockARequestForAMinute() {
        end("t1", 0);
        end("t2", 0);
        assertEquals(0, records.blockedForMs(DIGEST, 0));
        end("t3", 10);
        assertEquals(MINUTE_MS, records.blockedForMs(DIGEST, 10));
        assertEquals(0, records.blockedForMs(DIGEST, 10 + MINUTE_MS));
    }

    /** One target that ends, seen by several instances or through several connections, is one. */
    @Test
    void oneEndIsCountedOnce() {
        assertTrue(end("t1", 0));
        assertFalse(end("t1", 200));
        assertFalse(records.add(new RequestCrash(DIGEST, TargetId.of("t1"), 300), 300));
        assertEquals(1, records.ends(DIGEST));
    }

    /** A target that is back under its name and ends again is another end. */
    @Test
    void aTargetMayEndAgain() {
        end("t1", 0);
        end("t1", 5_000);
        assertTrue(end("t1", 10_000));
        assertTrue(records.blockedForMs(DIGEST, 10_000) > 0);
    }

    @Test
    void aServedRequestIsCleared() {
        end("t1", 0);
        end("t2", 0);
        end("t3", 0);
        assertTrue(records.clear(DIGEST));
        assertEquals(0, records.blockedForMs(DIGEST, 0));
        assertFalse(records.clear(DIGEST));
    }

    /** After a block one request is let through at a time; when a target ends again the next block is eight times as long. */
    @Test
    void aBlockEndsInATrial() {
        end("t1", 0);
        end("t2", 0);
        end("t3", 0);
        long trialMs = MINUTE_MS;
        records.admitted(DIGEST, trialMs);
        assertTrue(records.blockedForMs(DIGEST, trialMs + 1) > 0);
        end("t4", trialMs + 300);
        assertEquals(8 * MINUTE_MS, records.blockedForMs(DIGEST, trialMs + 300));
    }

    /** A connection reset under thousands of requests must not wash out what ended three targets. */
    @Test
    void manyRequestsBesideItDoNotMakeItForgotten() {
        end("t1", 0);
        end("t2", 0);
        end("t3", 0);
        for (int i = 0; i < 5_000; i++) {
            records.add(new RequestCrash(1_000 + i, TargetId.of("t4"), 0), 1);
        }
        assertTrue(records.blockedForMs(DIGEST, 1) > 0);
        assertTrue(records.all(1).size() < 1_100);
    }

    @Test
    void anEndIsForgottenAfterAWhile() {
        end("t1", 0);
        end("t2", 0);
        long muchLaterMs = 11 * MINUTE_MS;
        end("t3", muchLaterMs);
        assertEquals(0, records.blockedForMs(DIGEST, muchLaterMs));
    }

    private boolean end(String target, long nowMs) {
        return records.add(new RequestCrash(DIGEST, TargetId.of(target), 0), nowMs);
    }
}
