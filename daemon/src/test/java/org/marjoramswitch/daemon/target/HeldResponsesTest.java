package org.marjoramswitch.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.HeldResponses.Holder;

class HeldResponsesTest {
    private static final long MAX_BYTES = 1_000_000;

    private final HeldResponses responses = HeldResponses.of(MAX_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private Holder holder(String name) {
        return responses.holder(() -> evicted.add(name));
    }

    /** Guards against many responses below their own limits that together exhaust the heap. */
    @Test
    void evictsTheLargestHolderAndNotTheOneThatGrows() {
        Holder large = holder("large");
        Holder small = holder("small");
        assertTrue(large.hold(900_000));
        assertTrue(small.hold(90_000));
        assertTrue(small.hold(200_000));
        assertEquals(List.of("large"), evicted);
        assertFalse(large.hold(900_001));
    }

    /** Guards against evicting further holders for bytes that an evicted one is about to release. */
    @Test
    void countsEvictedBytesOnlyForTheUpperBound() {
        Holder large = holder("large");
        Holder small = holder("small");
        large.hold(900_000);
        small.hold(200_000);
        assertTrue(small.hold(800_000));
        assertEquals(List.of("large"), evicted);
        assertEquals(1_700_000, responses.heldBytes());
        large.close();
        assertEquals(800_000, responses.heldBytes());
        assertTrue(small.hold(900_000));
        assertEquals(List.of("large"), evicted);
    }

    /** Guards against growth without bound while the I/O threads of evicted holders do not run. */
    @Test
    void holdsAtMostTwiceTheLimitWhileEvictedHoldersDoNotRelease() {
        long accepted = 0;
        for (int i = 0; i < 100; i++) {
            if (holder("h" + i).hold(100_000)) {
                accepted++;
            }
        }
        assertTrue(accepted <= 20, () -> "evicted: " + evicted.size());
    }

    /** Guards against bytes that stay counted after their connection or attempt has ended. */
    @Test
    void closedHolderHoldsNothing() {
        Holder holder = holder("a");
        holder.hold(100_000);
        holder.close();
        assertFalse(holder.hold(100_000));
        assertEquals(0, responses.heldBytes());
    }

    /** Guards against closing a connection for an eviction whose bytes were parsed before it was carried out. */
    @Test
    void releasedHolderIsNotEvictedAnyMore() {
        Holder large = holder("large");
        large.hold(900_000);
        holder("small").hold(200_000);
        assertTrue(large.isEvicted());
        large.release();
        assertFalse(large.isEvicted());
        assertTrue(large.hold(100_000));
        assertEquals(300_000, responses.heldBytes());
    }

    /** Guards against shared state on the path of ordinary responses. */
    @Test
    void doesNotCountSmallHolders() {
        Holder holder = holder("a");
        assertTrue(holder.hold(HeldResponses.UNCOUNTED_BYTES));
        assertEquals(0, responses.heldBytes());
        assertTrue(holder.hold(HeldResponses.UNCOUNTED_BYTES + 1));
        assertEquals(HeldResponses.UNCOUNTED_BYTES + 1, responses.heldBytes());
        assertTrue(holder.hold(0));
        assertEquals(0, responses.heldBytes());
    }
}
