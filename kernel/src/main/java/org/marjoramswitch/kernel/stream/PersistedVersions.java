package org.marjoramswitch.kernel.stream;

import java.util.ArrayList;
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

    /** The same snapshot with further versions. */
    public PersistedVersions withVersions(List<PersistedVersion> added) {
        List<PersistedVersion> all = new ArrayList<>(versions);
        all.addAll(added);
        return new PersistedVersions(knownForMs, streamLifetimeMs, all);
    }

    /**
     * The same snapshot, read by an instance that starts. Versions do not age, since wall clocks jump. Where all streams
     * that can be resumed may have begun after the write, it does not tell how long the list has been followed.
     *
     * @param elapsedMs time since the write by the wall clocks of two instances, which may be negative
     */
    public PersistedVersions readAfter(long elapsedMs) {
        return Math.abs(elapsedMs) < streamLifetimeMs ? this : new PersistedVersions(0, streamLifetimeMs, versions);
    }

    /**
     * A software version that has served a pool recently.
     *
     * @param listed whether a target of this version was listed at the time of the snapshot, and may have served since
     * @param ageMs time since a target of this version was last listed, 0 if one is listed
     */
    public record PersistedVersion(PoolId pool, String softwareVersion, boolean listed, long ageMs) {}
}
