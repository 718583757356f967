package org.marjoramswitch.daemon.target;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PendingBytesTest {
    private final PendingBytes pending = new PendingBytes();
    private final ByteArrayOutputStream expected = new ByteArrayOutputStream();

    private void add(byte[] bytes, int from, int count) {
        pending.add(bytes, from, count);
        expected.write(bytes, from, count);
    }

    /** Guards against bytes that are lost or reordered where segments meet. */
    @Test
    void drainsAllBytesInOrder() {
        Random random = new Random(1);
        for (int i = 0; i < 200; i++) {
            byte[] bytes = new byte[random.nextInt(20_000)];
            random.nextBytes(bytes);
            add(bytes, bytes.length / 3, bytes.length / 2);
        }
        assertEquals(expected.size(), pending.size());
        assertArrayEquals(expected.toByteArray(), pending.toByteArray());
        ByteArrayOutputStream drained = new ByteArrayOutputStream();
        pending.drainTo(drained::writeBytes);
        assertArrayEquals(expected.toByteArray(), drained.toByteArray());
        assertTrue(pending.isEmpty());
        assertEquals(0, pending.allocatedBytes());
    }

    /** Guards against an object for each byte of a response that arrives byte by byte. */
    @Test
    void takesLittleMoreMemoryThanItsBytes() {
        for (int i = 0; i < 100_000; i++) {
            add(new byte[] {1}, 0, 1);
        }
        assertTrue(pending.allocatedBytes() < 100_000 + (32 << 10), () -> pending.allocatedBytes() + " bytes");
    }
}
