package org.marjoramswitch.testkit.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** LRU cache of prompt prefixes. Used only by the step thread. */
final class PrefixCache {
    private final int capacity;
    private final ChangeListener listener;
    private final LinkedHashMap<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacity, ChangeListener listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Adds the prefix, or marks it as recently used, and returns whether it was cached before. */
    boolean touch(long prefixHash) {
        if (prefixes.put(prefixHash, true) != null) {
            return true;
        }
        listener.onChange(prefixHash, true);
        if (prefixes.size() > capacity) {
            Map.Entry<Long, Boolean> eldest = prefixes.entrySet().iterator().next();
            long evicted = eldest.getKey();
            prefixes.remove(evicted);
            listener.onChange(evicted, false);
        }
        return false;
    }

    void clear() {
        prefixes.clear();
    }

    /** Receives additions and evictions of prefixes. */
    interface ChangeListener {
        void onChange(long prefixHash, boolean present);
    }
}
