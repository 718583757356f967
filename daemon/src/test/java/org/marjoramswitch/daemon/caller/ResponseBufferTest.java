package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;

class ResponseBufferTest {
    private final MemoryBudget budget = MemoryBudget.of(1_000_000);
    private final MemoryAccount account = budget.account(CustomerId.of("a"));
    private int ends;

    private ResponseBuffer buffer(int maxUnreadBytes, int maxRetainedBytes, boolean retained) {
        return ResponseBuffer.create(
                new ResponseBuffer.Limits(maxUnreadBytes, maxRetainedBytes), retained, account, (end, bytes) -> ends++);
    }

    private static byte[] bytes(int count) {
        return new byte[count];
    }

    /** Reader that reads on request and records whether it was dropped. */
    private static final class Reader implements ResponseBufferListener {
        private final StringBuilder read = new StringBuilder();
        private ResponseBuffer.Cursor cursor;
        private boolean dropped;

        static Reader on(ResponseBuffer buffer) {
            Reader reader = new Reader();
            reader.cursor = buffer.open(reader);
            return reader;
        }

        void read(int chunks) {
            for (int i = 0; i < chunks; i++) {
                byte[] next = cursor.next();
                if (next == null) {
                    return;
                }
                read.append(new String(next, StandardCharsets.UTF_8));
            }
        }

        @Override
        public void onMore() {}

        @Override
        public void onDropped() {
            dropped = true;
        }
    }

    @Test
    void readerBeyondUnreadLimitIsDroppedAndItsBytesAreFreed() {
        ResponseBuffer buffer = buffer(10, 0, false);
        Reader slow = Reader.on(buffer);
        Reader quick = Reader.on(buffer);
        buffer.onBytes(bytes(8));
        quick.read(1);
        buffer.onBytes(bytes(4));
        assertTrue(slow.dropped);
        assertNull(slow.cursor.next());
        assertEquals(4, budget.usedBytes());
        quick.read(1);
        assertEquals(0, budget.usedBytes());
        assertNull(buffer.open(new Reader()), "the first bytes are freed");
    }

    /** Guards against an object for each byte of an unread response that arrives byte by byte; objects are not counted. */
    @Test
    void smallUnreadChunksAreMerged() {
        ResponseBuffer buffer = buffer(100_000, 0, false);
        Reader reader = Reader.on(buffer);
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 100_000; i++) {
            char next = (char) ('a' + i % 26);
            sent.append(next);
            buffer.onBytes(new byte[] {(byte) next});
        }
        assertEquals(100_000, budget.usedBytes());
        reader.read(1_000);
        assertTrue(reader.read.toString().contentEquals(sent), "read " + reader.read.length() + " bytes");
        assertEquals(0, budget.usedBytes());
    }

    /** Guards against bytes that are lost or repeated for a reader that has passed a chunk that others have not. */
    @Test
    void mergedChunksAreReadOnceByEachReader() {
        Random random = new Random(1);
        ResponseBuffer buffer = buffer(1_000_000, 0, false);
        Reader quick = Reader.on(buffer);
        Reader slow = Reader.on(buffer);
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 20_000; i++) {
            String next = "abcdefghij".substring(0, 1 + random.nextInt(10));
            sent.append(next);
            buffer.onBytes(next.getBytes(StandardCharsets.UTF_8));
            if (random.nextInt(50) == 0) {
                quick.read(random.nextInt(200));
            }
            if (random.nextInt(2_000) == 0) {
                slow.read(random.nextInt(300));
            }
        }
        quick.read(100_000);
        slow.read(100_000);
        assertEquals(sent.toString(), quick.read.toString());
        assertEquals(sent.toString(), slow.read.toString());
        assertEquals(0, budget.usedBytes());
    }

    @Test
    void retainedResponseIsReplayedUntilDiscardedOrTooLarge() {
        ResponseBuffer buffer = buffer(100, 10, true);
        buffer.onBytes(bytes(10));
        Reader first = Reader.on(buffer);
        first.read(1);
        assertEquals(10, first.read.length());
        ResponseBuffer.Cursor second = buffer.open(new Reader());
        assertNotNull(second);
        second.close();
        buffer.discard();
        assertEquals(0, budget.usedBytes());
        assertNull(buffer.open(new Reader()));
        ResponseBuffer large = buffer(100, 10, true);
        large.onBytes(bytes(11));
        assertNull(large.open(new Reader()));
    }

    // Other responses exhaust the memory budget. A reader that keeps up continues; one that is behind is dropped
    // although it is within its own limit, so that memory is freed.
    @Test
    void slowReadersAreDroppedWhenBudgetIsExhausted() {
        ResponseBuffer buffer = buffer(1 << 20, 0, false);
        Reader behind = Reader.on(buffer);
        Reader quick = Reader.on(buffer);
        buffer.onBytes(bytes(20_000));
        quick.read(1);
        budget.account(CustomerId.of("b")).forceReserve(MemoryBudget.Kind.RESPONSES, 1_000_000);
        buffer.onBytes(bytes(10_000));
        assertTrue(behind.dropped);
        quick.read(1);
        assertEquals(30_000, quick.read.length());
        assertEquals(1_000_000, budget.usedBytes());
    }

    @Test
    void endIsReportedOnceAndAfterTheLastByte() {
        ResponseBuffer buffer = buffer(100, 0, false);
        Reader reader = Reader.on(buffer);
        buffer.onHead(200, java.util.Map.of());
        buffer.onBytes(bytes(1));
        buffer.onComplete();
        buffer.onComplete();
        assertEquals(1, ends);
        assertEquals(1, reader.cursor.knownLength());
        assertNull(reader.cursor.end());
        reader.read(1);
        assertEquals(new ResponseEnd.Complete(), reader.cursor.end());
    }

    @Test
    void customerWithMostCachedBytesLosesItsOldestResponses() {
        ResponseCache cache = ResponseCache.of(10);
        CustomerId large = CustomerId.of("large");
        CustomerId small = CustomerId.of("small");
        assertEquals(List.of(), cache.add(small, 1, 2));
        assertEquals(List.of(), cache.add(large, 2, 4));
        assertEquals(List.of(), cache.add(large, 3, 4));
        assertEquals(List.of(2L), cache.add(small, 4, 1));
        assertEquals(List.of(3L, 5L), cache.add(large, 5, 9));
    }

    /** However the stream is split into chunks, the results are complete events in order. */
    @Test
    void eventsAreCompleteForAnyChunkBoundaries() {
        String stream = "data: 1\n\n: c\r\n\r\ndata: 2\rid: 7\r\rdata: 33\n\ndata: [DONE]\n\nrest";
        Random random = new Random(11);
        for (int run = 0; run < 500; run++) {
            EventFramer framer = new EventFramer();
            StringBuilder passed = new StringBuilder();
            for (int from = 0; from < stream.length(); ) {
                int to = Math.min(stream.length(), from + 1 + random.nextInt(6));
                String part = new String(
                        framer.accept(stream.substring(from, to).getBytes(StandardCharsets.UTF_8)),
                        StandardCharsets.UTF_8);
                boolean whole = part.isEmpty()
                        || part.endsWith("\n\n")
                        || part.endsWith("\r\r")
                        || part.endsWith("\r\n\r\n")
                        || part.endsWith("\r\n\r");
                assertTrue(whole, part);
                passed.append(part);
                from = to;
            }
            assertTrue(framer.atBoundary());
            assertEquals("rest", new String(framer.remainder(), StandardCharsets.UTF_8).strip());
            assertTrue(stream.startsWith(passed.toString()));
        }
    }
}
