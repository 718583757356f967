package org.marjoramswitch.kernel.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.message.PeerMessage.VersionHistory;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

class ServedVersionsTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final long START_MS = 5_000;
    private static final long LIFETIME_MS = ServedVersions.MIN_STREAM_LIFETIME_MS;

    private final ServedVersions versions = ServedVersions.create();

    @Test
    void onlyVersionIsCertainAfterAStreamsLifetime() {
        versions.listed(List.of(target("v1")), START_MS);
        assertNull(versions.onlyVersion(POOL, START_MS + LIFETIME_MS - 1));
        assertEquals("v1", versions.onlyVersion(POOL, START_MS + LIFETIME_MS));
    }

    @Test
    void versionThatLeftCountsForAStreamsLifetime() {
        versions.listed(List.of(target("v1"), target("v2")), START_MS);
        long leftAtMs = START_MS + 2 * LIFETIME_MS;
        versions.listed(List.of(target("v2")), leftAtMs);
        assertNull(versions.onlyVersion(POOL, leftAtMs + LIFETIME_MS - 1));
        assertEquals("v2", versions.onlyVersion(POOL, leftAtMs + LIFETIME_MS));
    }

    /** Guards against a fixed lifetime where callers wait longer for their streams. */
    @Test
    void lifetimeFollowsTheLongestTimeoutOfACaller() {
        versions.listed(List.of(target("v1")), START_MS);
        versions.streamMayLast(4 * LIFETIME_MS);
        assertNull(versions.onlyVersion(POOL, START_MS + 4 * LIFETIME_MS - 1));
        assertEquals("v1", versions.onlyVersion(POOL, START_MS + 4 * LIFETIME_MS));
    }

    /** Guards against taking a peer's knowledge for older than it is, or a version that left for one that serves. */
    @Test
    void startedInstanceTakesOverThePeersHistory() {
        versions.listed(List.of(target("v1"), target("v2")), START_MS);
        long nowMs = START_MS + 2 * LIFETIME_MS;
        versions.listed(List.of(target("v2")), nowMs);
        VersionHistory history = Objects.requireNonNull(versions.history(nowMs + 1_000));
        ServedVersions started = ServedVersions.create();
        started.listed(List.of(target("v2")), 0);
        started.add(history, 0);
        assertNull(started.onlyVersion(POOL, LIFETIME_MS - 1_001));
        assertEquals("v2", started.onlyVersion(POOL, LIFETIME_MS - 1_000));
    }

    @Test
    void instanceWithoutTargetsHasNoHistory() {
        assertNull(versions.history(START_MS));
        assertNull(versions.onlyVersion(POOL, START_MS + 2 * LIFETIME_MS));
    }

    private static TargetSettings target(String version) {
        return new TargetSettings(TargetId.of("t-" + version), POOL, "10.0.0.1", 80, DataCentreId.of("dc"), 1, false)
                .withSoftwareVersion(version);
    }
}
