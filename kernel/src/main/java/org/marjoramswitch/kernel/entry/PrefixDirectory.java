package org.marjoramswitch.kernel.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Maps prompt prefixes to the target that probably has them cached: the one that this entry last sent the prefix to, or
 * the one whose cache event named it last. Events arrive late and with gaps, so an entry is a hint; a wrong one costs
 * prefill time only. Bounded, with least-recently-used eviction.
 */
final class PrefixDirectory {
    private static final int MAX_PREFIXES = 10_000;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, TargetId> targetByPrefix = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, TargetId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    void record(TargetId target, long prefixHash) {
        if (prefixHash != 0) {
            targetByPrefix.put(prefixHash, target);
        }
    }

    void remove(TargetId target, long prefixHash) {
        if (target.equals(targetByPrefix.get(prefixHash))) {
            targetByPrefix.remove(prefixHash);
        }
    }

    boolean holds(TargetId target, long prefixHash) {
        return prefixHash != 0 && target.equals(targetByPrefix.get(prefixHash));
    }

    @Nullable
    TargetId probableHolder(long prefixHash) {
        return prefixHash == 0 ? null : targetByPrefix.get(prefixHash);
    }
}
