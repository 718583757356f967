package org.marjoramswitch.kernel.stream;

import java.util.List;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Snapshot of {@link ServedVersions} that outlives all instances.
 *
 * @param knownForMs how long the fleet has followed the list of targets
 * @param streamLifetimeMs how long a stream may last
 */
public record PersistedVersions(long knownForMs, long streamLifetimeMs, List<PersistedVersion> versions) {
    public PersistedVersions {
        versions = List.copyOf(versions);
    }

    /** The same snapshot after some time in which no instance may have been running. */
    public PersistedVersions aged(long elapsedMs) {
        return new PersistedVersions(
                knownForMs + elapsedMs,
                streamLifetimeMs,
                versions.stream().map(version -> version.aged(elapsedMs)).toList());
    }

    /**
     * A software version that has served a pool recently.
     *
     * @param listed whether a target of this version was listed at the time of the snapshot, and may have served since
     * @param ageMs time since a target of this version was last listed, 0 if one is listed
     */
    public record PersistedVersion(PoolId pool, String softwareVersion, boolean listed, long ageMs) {
        private PersistedVersion aged(long elapsedMs) {
            return listed ? this : new PersistedVersion(pool, softwareVersion, false, ageMs + elapsedMs);
        }
    }
}
