package org.marjoramswitch.kernel.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage.ServedVersion;
import org.marjoramswitch.kernel.message.PeerMessage.VersionHistory;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.kernel.stream.PersistedVersions.PersistedVersion;

/**
 * Tracks which software versions have served each pool recently. A stream whose beginning is not known can be continued
 * only if a single version has served its pool for as long as a stream can last: the version that began it may have left
 * a moment ago.
 *
 * <p>An instance that has just started has not seen which versions served before. It takes over the history of peers
 * that have been running for longer, or the last snapshot if there are no such peers. Not thread-safe.
 */
public final class ServedVersions {
    /** Minimum of {@link #streamLifetimeMs}. */
    static final long MIN_STREAM_LIFETIME_MS = StreamDirectory.MIN_KEPT_MS;

    private final Map<PoolId, Map<String, Long>> lastServedMs = new TreeMap<>();
    private final Map<PoolId, Set<String>> listed = new TreeMap<>();
    /** When this instance or a peer found that a version is no longer listed. */
    private final Map<PoolId, Map<String, Long>> leftMs = new TreeMap<>();

    private long knownSinceMs = Long.MAX_VALUE;
    /** How long ago a stream may have begun that is resumed now: the longest timeout of a caller seen so far. */
    private long streamLifetimeMs = MIN_STREAM_LIFETIME_MS;

    private ServedVersions() {}

    public static ServedVersions create() {
        return new ServedVersions();
    }

    /** Sets the targets that serve from now on. */
    public void listed(Collection<TargetSettings> targets, long nowMs) {
        listed.forEach((pool, versions) -> versions.forEach(version -> {
            served(pool, version, nowMs);
            left(pool, version, nowMs);
        }));
        listed.clear();
        targets.forEach(target -> {
            listed.computeIfAbsent(target.pool(), missing -> new TreeSet<>()).add(target.softwareVersion());
            leftMs.computeIfAbsent(target.pool(), missing -> new TreeMap<>()).remove(target.softwareVersion());
        });
        leftMs.values().forEach(versions -> versions.values().removeIf(atMs -> nowMs - atMs >= streamLifetimeMs));
        if (!targets.isEmpty()) {
            knownSinceMs = Math.min(knownSinceMs, nowMs);
        }
    }

    /** Records that a version served a pool. */
    public void served(PoolId pool, String softwareVersion, long atMs) {
        lastServedMs.computeIfAbsent(pool, missing -> new TreeMap<>()).merge(softwareVersion, atMs, Math::max);
    }

    /** Records that a stream may last this long. */
    public void streamMayLast(long lifetimeMs) {
        streamLifetimeMs = Math.max(streamLifetimeMs, lifetimeMs);
    }

    /** Adds the history of a peer. */
    public void add(VersionHistory history, long nowMs) {
        for (ServedVersion version : history.versions()) {
            served(version.pool(), version.softwareVersion(), nowMs - version.ageMs());
            if (version.ageMs() > 0) {
                left(version.pool(), version.softwareVersion(), nowMs - version.ageMs());
            }
        }
        knownSinceMs = Math.min(knownSinceMs, nowMs - history.knownForMs());
    }

    private void left(PoolId pool, String softwareVersion, long atMs) {
        leftMs.computeIfAbsent(pool, missing -> new TreeMap<>()).merge(softwareVersion, atMs, Math::max);
    }

    /**
     * Whether a version that began streams of the pool has neither been listed here nor is known to have left: the list
     * that this instance has read may be older than the version.
     */
    public boolean isUnlisted(PoolId pool, String softwareVersion) {
        return !listed.getOrDefault(pool, Set.of()).contains(softwareVersion)
                && !leftMs.getOrDefault(pool, Map.of()).containsKey(softwareVersion);
    }

    /** The history for a peer; null before the first list of targets. */
    public @Nullable VersionHistory history(long nowMs) {
        if (knownSinceMs == Long.MAX_VALUE) {
            return null;
        }
        List<ServedVersion> versions = new ArrayList<>();
        for (PoolId pool : pools()) {
            recent(pool, nowMs)
                    .forEach((version, atMs) -> versions.add(new ServedVersion(pool, version, nowMs - atMs)));
        }
        return new VersionHistory(Math.max(0, nowMs - knownSinceMs), versions);
    }

    /** A snapshot for instances that start after all others have crashed; null before the first list of targets. */
    public @Nullable PersistedVersions snapshot(long nowMs) {
        if (knownSinceMs == Long.MAX_VALUE) {
            return null;
        }
        List<PersistedVersion> versions = new ArrayList<>();
        for (PoolId pool : pools()) {
            Set<String> listedVersions = listed.getOrDefault(pool, Set.of());
            recent(pool, nowMs)
                    .forEach((version, atMs) -> versions.add(
                            new PersistedVersion(pool, version, listedVersions.contains(version), nowMs - atMs)));
        }
        return new PersistedVersions(Math.max(0, nowMs - knownSinceMs), streamLifetimeMs, versions);
    }

    /** Adds a snapshot; a version that was listed in it may have served until now. */
    public void restore(PersistedVersions snapshot, long nowMs) {
        for (PersistedVersion version : snapshot.versions()) {
            served(version.pool(), version.softwareVersion(), nowMs - version.ageMs());
            if (!version.listed()) {
                left(version.pool(), version.softwareVersion(), nowMs - version.ageMs());
            }
        }
        streamMayLast(snapshot.streamLifetimeMs());
        knownSinceMs = Math.min(knownSinceMs, nowMs - snapshot.knownForMs());
    }

    /** The versions that are listed now, by pool. */
    public Map<PoolId, Set<String>> listedVersions() {
        return Collections.unmodifiableMap(listed);
    }

    /** The versions that may have begun a stream that is resumed now, by pool. */
    public Map<PoolId, Set<String>> recentVersions(long nowMs) {
        Map<PoolId, Set<String>> recent = new TreeMap<>();
        pools().forEach(pool -> recent.put(pool, recent(pool, nowMs).keySet()));
        return recent;
    }

    /** Whether the versions have been known for as long as a stream lasts. */
    public boolean isKnown(long nowMs) {
        return knownSinceMs <= nowMs - streamLifetimeMs;
    }

    /** How long a stream may last. */
    public long streamLifetimeMs() {
        return streamLifetimeMs;
    }

    /** The version that alone has served the pool for as long as a stream lasts; null if this is not certain. */
    public @Nullable String onlyVersion(PoolId pool, long nowMs) {
        Set<String> recent = recent(pool, nowMs).keySet();
        return isKnown(nowMs) && recent.size() == 1 ? recent.iterator().next() : null;
    }

    private Set<PoolId> pools() {
        Set<PoolId> pools = new TreeSet<>(listed.keySet());
        pools.addAll(lastServedMs.keySet());
        return pools;
    }

    /** The versions that have served the pool within a stream's lifetime, each with the time when it last did. */
    private Map<String, Long> recent(PoolId pool, long nowMs) {
        Map<String, Long> recent = new TreeMap<>(lastServedMs.getOrDefault(pool, Map.of()));
        recent.values().removeIf(atMs -> nowMs - atMs >= streamLifetimeMs);
        listed.getOrDefault(pool, Set.of()).forEach(version -> recent.put(version, nowMs));
        return recent;
    }
}
