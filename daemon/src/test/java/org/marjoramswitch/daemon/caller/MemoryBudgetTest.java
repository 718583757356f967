package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.caller.MemoryBudget.Kind;
import org.marjoramswitch.kernel.model.CustomerId;

class MemoryBudgetTest {
    private static final long MAX_BYTES = 3_000_000;

    private final MemoryBudget budget = MemoryBudget.of(MAX_BYTES);
    private final MemoryAccount large = budget.account(CustomerId.of("large"));
    private final MemoryAccount small = budget.account(CustomerId.of("small"));

    private RequestMemory request(MemoryAccount account) {
        return RequestMemory.of(account, 0);
    }

    /** Guards against a customer that takes all memory, so that the others' small requests are rejected. */
    @Test
    void customerThatHoldsAllItCanLeavesRoomForOthers() {
        int held = 0;
        while (held < 1_000 && request(large).tryBegin(100_000)) {
            held++;
        }
        assertTrue(budget.usedBytes() <= MAX_BYTES * 2 / 3);
        while (large.tryReserve(Kind.RESPONSES, 1_000)) {
            held++;
        }
        assertTrue(budget.usedBytes() <= MAX_BYTES * 4 / 5);
        assertFalse(request(large).tryBegin(1));
        for (int i = 0; i < 40; i++) {
            assertTrue(request(small).tryBegin(600));
        }
    }

    /** Guards against many customers that exhaust the memory together although each is within its own limit. */
    @Test
    void manyCustomersTogetherStayWithinTheBudget() {
        for (int customer = 0; customer < 200; customer++) {
            MemoryAccount account = budget.account(CustomerId.of("c" + customer));
            for (int i = 0; i < 1_000 && request(account).tryBegin(600); i++) {
                assertTrue(budget.usedBytes() <= MAX_BYTES);
            }
        }
    }

    /** Guards against a count that is less than what is held, or that remains after the end of a request. */
    @Test
    void bodyIsCountedAsItIsHeldAndReleasedOnce() {
        Random random = new Random(1);
        for (int round = 0; round < 200; round++) {
            byte[] sent = new byte[1 + random.nextInt(300_000)];
            random.nextBytes(sent);
            boolean declared = random.nextBoolean();
            RequestMemory memory = request(large);
            assertTrue(memory.tryBegin(declared ? sent.length : 0));
            BodyBytes bytes = new BodyBytes(memory, declared ? sent.length : -1);
            for (int at = 0; at < sent.length; ) {
                int count = Math.min(sent.length - at, 1 + random.nextInt(16_384));
                assertTrue(bytes.add(ByteBuffer.wrap(sent, at, count)));
                at += count;
                assertTrue(budget.usedBytes(Kind.REQUEST_BODIES) >= at);
            }
            assertArrayEquals(sent, bytes.take());
            assertEquals(sent.length, budget.usedBytes(Kind.REQUEST_BODIES));
            memory.end(5);
            memory.end(5);
            assertEquals(0, budget.usedBytes());
        }
        assertTrue(budget.peakBytes(Kind.REQUEST_BODIES) <= 2 * 300_000 + (64 << 10));
    }

    /** Guards against a body of unknown length that is received beyond the limit, or that doubles beyond it at its end. */
    @Test
    void bodyOfUnknownLengthEndsAtTheLimit() {
        RequestMemory memory = request(large);
        assertTrue(memory.tryBegin(0));
        BodyBytes bytes = new BodyBytes(memory, -1);
        byte[] part = new byte[16_384];
        while (bytes.add(ByteBuffer.wrap(part))) {
            assertTrue(budget.usedBytes() <= MAX_BYTES * 2 / 3);
        }
        assertNull(bytes.take());
        memory.releaseAll();
        assertEquals(0, budget.usedBytes());
    }

    /** Guards against a delay that does not follow from how fast memory becomes free. */
    @Test
    void retryAfterFollowsFromHowLongRequestsHoldMemory() {
        RequestMemory held = request(large);
        assertTrue(held.tryBegin(1_900_000));
        long atFirst = large.retryAfterMs(Kind.REQUEST_BODIES, 1_900_000);
        for (int i = 0; i < 200; i++) {
            RequestMemory ended = request(small);
            assertTrue(ended.tryBegin(0));
            ended.end(3_000);
        }
        long later = large.retryAfterMs(Kind.REQUEST_BODIES, 1_900_000);
        assertTrue(later > 3 * atFirst, () -> later + " after " + atFirst);
        assertTrue(large.retryAfterMs(Kind.REQUEST_BODIES, 200_000) < later);
    }

    /** Guards against a half heap with the same budget. */
    @Test
    void budgetFollowsTheHeap() {
        assertEquals(2 * MemoryBudget.maxBytesOfHeap(50 << 20), MemoryBudget.maxBytesOfHeap(100 << 20));
    }
}
