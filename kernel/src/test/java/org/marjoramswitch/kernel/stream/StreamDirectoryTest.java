package org.marjoramswitch.kernel.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.PoolId;

class StreamDirectoryTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final PoolId OTHER_POOL = PoolId.of("other");
    private static final long NOW_MS = 1_000;

    private final StreamDirectory directory = StreamDirectory.create();

    @Test
    void recordsAreKeptUntilTheCallersTimeout() {
        long timeoutMs = 2 * StreamDirectory.MIN_KEPT_MS;
        directory.record(POOL, new StreamBeginning(1, "v1", timeoutMs), NOW_MS);
        assertEquals("v1", directory.versionOf(POOL, 1, NOW_MS + timeoutMs - 1));
        assertNull(directory.versionOf(POOL, 1, NOW_MS + timeoutMs));
        assertNull(directory.versionOf(OTHER_POOL, 1, NOW_MS));
    }

    /** Guards against the version of a run that delivered nothing. */
    @Test
    void newestVersionOfAStreamReplacesTheOlderOne() {
        directory.record(POOL, new StreamBeginning(1, "v1", 0), NOW_MS);
        directory.record(POOL, new StreamBeginning(1, "v2", 0), NOW_MS);
        assertEquals("v2", directory.versionOf(POOL, 1, NOW_MS));
        assertEquals(List.of(new StreamBeginning(1, "v2", StreamDirectory.MIN_KEPT_MS)), directory.all(POOL, NOW_MS));
    }

    /** Guards against memory that grows with the number of streams. */
    @Test
    void oldestRecordsAreRemoved() {
        for (long key = 1; key <= StreamDirectory.MAX_STREAMS + 10; key++) {
            directory.record(POOL, new StreamBeginning(key, "v1", 0), NOW_MS);
        }
        assertEquals(StreamDirectory.MAX_STREAMS, directory.size());
        assertNull(directory.versionOf(POOL, 1, NOW_MS));
        directory.record(POOL, new StreamBeginning(1, "v1", 0), NOW_MS + StreamDirectory.MIN_KEPT_MS);
        assertEquals(1, directory.size());
    }

    @Test
    void streamWithoutIdIsNotRecorded() {
        directory.record(POOL, new StreamBeginning(0, "v1", 0), NOW_MS);
        assertNull(directory.versionOf(POOL, 0, NOW_MS));
    }
}
