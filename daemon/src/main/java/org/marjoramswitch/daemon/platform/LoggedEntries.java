package org.marjoramswitch.daemon.platform;

import java.util.HashMap;
import java.util.Map;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;

/**
 * Which versions of unreadable entries were logged. A list is read whole with each change of any entry, and one that
 * cannot be read would be logged each time; each version of it is logged once.
 */
public final class LoggedEntries {
    private final Map<String, Long> revisions = new HashMap<>();

    private LoggedEntries() {}

    public static LoggedEntries create() {
        return new LoggedEntries();
    }

    /** Notes this version of the entry; false where it was noted before. */
    public boolean add(Entry entry) {
        Long logged = revisions.put(entry.key(), entry.modRevision());
        return logged == null || logged != entry.modRevision();
    }
}
