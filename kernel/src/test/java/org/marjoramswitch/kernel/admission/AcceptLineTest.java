package org.marjoramswitch.kernel.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptLineTest {
    private static final long MAX_WAIT_MS = 100;
    private static final long PATIENCE_MS = 1_000;

    private final AcceptLine<Integer> line = AcceptLine.withCapacity(1_000);

    /** Guards against serving connections when their callers are about to give up, while newer ones wait. */
    @Test
    void newestIsServedFirstAndOldestRejectedFirst() {
        line.add(1, 0);
        line.add(2, 50);
        line.add(3, 60);
        assertTrue(line.hasFresh(MAX_WAIT_MS, 120));
        assertEquals(3, line.removeNewest());
        assertEquals(1, line.expired(MAX_WAIT_MS, 120));
        line.removeOldest();
        assertNull(line.expired(MAX_WAIT_MS, 120));
        assertEquals(70, line.oldestWaitMs(120));
    }

    /** Guards against serving what should have been rejected already. */
    @Test
    void expiredConnectionIsNotFresh() {
        line.add(1, 0);
        assertFalse(line.hasFresh(MAX_WAIT_MS, MAX_WAIT_MS));
        assertEquals(1, line.expired(MAX_WAIT_MS, MAX_WAIT_MS));
    }

    /** Guards against requests that are served in vain at twice the capacity, since each has waited as long as its caller. */
    @Test
    void everyServedConnectionIsFreshAtTwiceTheCapacity() {
        List<Long> servedWaitsMs = new ArrayList<>();
        List<Long> rejectedWaitsMs = new ArrayList<>();
        long[] acceptedMs = new long[5_000];
        for (int i = 0; i < acceptedMs.length; i++) {
            long nowMs = i;
            acceptedMs[i] = nowMs;
            line.add(i, nowMs);
            if (i % 2 == 0 && line.hasFresh(MAX_WAIT_MS, nowMs)) {
                servedWaitsMs.add(nowMs - acceptedMs[line.removeNewest()]);
            }
            Integer expired = line.expired(MAX_WAIT_MS, nowMs);
            if (expired != null) {
                rejectedWaitsMs.add(nowMs - acceptedMs[expired]);
                line.removeOldest();
            }
        }
        assertEquals(acceptedMs.length / 2, servedWaitsMs.size());
        assertTrue(servedWaitsMs.stream().allMatch(waitMs -> waitMs < MAX_WAIT_MS));
        assertTrue(rejectedWaitsMs.size() > acceptedMs.length / 3);
        assertTrue(rejectedWaitsMs.stream().allMatch(waitMs -> waitMs < PATIENCE_MS));
    }
}
