package org.marjoramswitch.kernel.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Records the software version at which each recent stream of a pool began. A caller may resume its stream at another
 * instance, whose targets do not check whether they can continue it.
 *
 * <p>Records are soft state: an entry reports a stream when its response begins, and the record is replaced if the same
 * request begins again at another version. A record is kept until the caller's timeout expires, and for at least {@link
 * #MIN_KEPT_MS}, since a caller's own timeout may be longer than the route's.
 *
 * <p>Cost: constant time per stream; about 100 bytes per stream, for at most {@link #MAX_STREAMS} streams of a pool. Not
 * thread-safe.
 */
public final class StreamDirectory {
    static final long MIN_KEPT_MS = 30_000;
    static final int MAX_STREAMS = 100_000;

    private final Map<PoolId, Map<Long, Beginning>> byPool = new TreeMap<>();

    private StreamDirectory() {}

    public static StreamDirectory create() {
        return new StreamDirectory();
    }

    /** Records that a stream began; a key of 0 cannot be referred to and is ignored. */
    public void record(PoolId pool, StreamBeginning beginning, long nowMs) {
        if (beginning.streamKey() == 0) {
            return;
        }
        Map<Long, Beginning> streams = byPool.computeIfAbsent(pool, missing -> new LinkedHashMap<>());
        removeOldest(streams, nowMs);
        long keptUntilMs = nowMs + Math.max(MIN_KEPT_MS, beginning.leftMs());
        // Removed first, so that a new record is the last one in the order of insertion.
        streams.remove(beginning.streamKey());
        streams.put(beginning.streamKey(), new Beginning(beginning.softwareVersion(), keptUntilMs, false));
    }

    /**
     * Adds a record that was persisted by this or another instance, unless a stream that began since has replaced it.
     * Persisted records have no order: if two of them differ in the version, the stream's version is not known.
     */
    public void restore(PoolId pool, StreamBeginning beginning, long nowMs) {
        if (beginning.leftMs() <= 0) {
            return;
        }
        Map<Long, Beginning> streams = byPool.computeIfAbsent(pool, missing -> new LinkedHashMap<>());
        removeOldest(streams, nowMs);
        Beginning restored = new Beginning(beginning.softwareVersion(), nowMs + beginning.leftMs(), true);
        streams.merge(beginning.streamKey(), restored, Beginning::restoredWith);
    }

    /** The software version at which the stream began; null if it is not known. */
    public @Nullable String versionOf(PoolId pool, long streamKey, long nowMs) {
        Beginning beginning = byPool.getOrDefault(pool, Map.of()).get(streamKey);
        return beginning == null || !beginning.isKnown(nowMs) ? null : beginning.softwareVersion();
    }

    /** Whether records of the stream differ in its version, so that no record of it can be trusted. */
    public boolean isAmbiguous(PoolId pool, long streamKey, long nowMs) {
        Beginning beginning = byPool.getOrDefault(pool, Map.of()).get(streamKey);
        return beginning != null && beginning.keptUntilMs() > nowMs && !beginning.isKnown(nowMs);
    }

    /** The number of records, including some that have expired. */
    public int size() {
        int size = 0;
        for (Map<Long, Beginning> streams : byPool.values()) {
            size += streams.size();
        }
        return size;
    }

    /** The pools with recorded streams. */
    public Set<PoolId> pools() {
        return byPool.keySet();
    }

    /** All records of a pool that have not expired. */
    public List<StreamBeginning> all(PoolId pool, long nowMs) {
        return beginnings(pool, byPool.getOrDefault(pool, Map.of()).keySet(), nowMs);
    }

    /** The records of these streams that have not expired. */
    public List<StreamBeginning> beginnings(PoolId pool, Collection<Long> streamKeys, long nowMs) {
        Map<Long, Beginning> streams = byPool.getOrDefault(pool, Map.of());
        List<StreamBeginning> beginnings = new ArrayList<>();
        for (long key : streamKeys) {
            Beginning beginning = streams.get(key);
            if (beginning != null && beginning.isKnown(nowMs)) {
                beginnings.add(new StreamBeginning(key, beginning.softwareVersion(), beginning.keptUntilMs() - nowMs));
            }
        }
        return beginnings;
    }

    private static void removeOldest(Map<Long, Beginning> streams, long nowMs) {
        Iterator<Beginning> oldest = streams.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = oldest.next().keptUntilMs() <= nowMs;
            if (!expired && streams.size() < MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }

    private record Beginning(String softwareVersion, long keptUntilMs, boolean restored) {
        private static final String AMBIGUOUS = "";

        private boolean isKnown(long nowMs) {
            return keptUntilMs > nowMs && !softwareVersion.equals(AMBIGUOUS);
        }

        private Beginning restoredWith(Beginning other) {
            if (!restored) {
                return this;
            }
            String version = softwareVersion.equals(other.softwareVersion) ? softwareVersion : AMBIGUOUS;
            return new Beginning(version, Math.max(keptUntilMs, other.keptUntilMs), true);
        }
    }
}
