package org.marjoramswitch.daemon.platform;

import java.util.HashMap;
import java.util.Map;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;

/**
 * Tracks which versions of malformed entries have been logged. A list is parsed completely whenever any entry changes,
 * which would log a malformed entry each time; each version of it is logged once.
 */
public final class LoggedEntries {
    private final Map<String, Long> revisions = new HashMap<>();

    private LoggedEntries() {}

    public static LoggedEntries create() {
        return new LoggedEntries();
    }

    /** Records this version of the entry; false if it was recorded before. */
    public boolean add(Entry entry) {
        Long logged = revisions.put(entry.key(), entry.modRevision());
        return logged == null || logged != entry.modRevision();
    }
}
