package org.marjoramswitch.kernel.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage.WatchPosition;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;

/**
 * The entries below one prefix as this instance holds them, and up to which revision that is the whole truth.
 *
 * <p>The service numbers all changes by one counter, so two instances can compare what they hold by two numbers: the
 * revision up to which one has heard of everything, and that of the last change it heard of. One whose last change is not
 * newer than what the other has heard of has nothing to tell it.
 *
 * <p>Not thread-safe.
 */
final class WatchedPrefix {
    private final String prefix;
    private final Map<String, WatchedEntry> entries = new TreeMap<>();
    private long completeRevision;
    private long changedRevision;

    WatchedPrefix(String prefix) {
        this.prefix = prefix;
    }

    long completeRevision() {
        return completeRevision;
    }

    WatchPosition position() {
        return new WatchPosition(prefix, changedRevision, completeRevision);
    }

    List<WatchedEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Takes changes of the revisions after {@code fromRevision}, in order.
     *
     * @return those that are new here; null where some before them are missing
     */
    @Nullable
    List<WatchedEntry> advance(long fromRevision, long toRevision, Collection<WatchedEntry> changes) {
        if (fromRevision > completeRevision) {
            return null;
        }
        List<WatchedEntry> news = new ArrayList<>();
        for (WatchedEntry change : changes) {
            if (change.revision() > completeRevision) {
                put(change);
                news.add(change);
            }
        }
        completeRevision = Math.max(completeRevision, toRevision);
        return news;
    }

    /** Takes all entries as they were at a revision; returns what differs from those held here, as changes. */
    List<WatchedEntry> replace(long revision, Collection<WatchedEntry> all) {
        if (revision <= completeRevision) {
            return List.of();
        }
        Map<String, WatchedEntry> read = new TreeMap<>();
        all.forEach(entry -> read.put(entry.key(), entry));
        List<WatchedEntry> news = new ArrayList<>();
        for (WatchedEntry held : List.copyOf(entries.values())) {
            if (!read.containsKey(held.key())) {
                news.add(WatchedEntry.removed(held.key(), revision));
            }
        }
        for (WatchedEntry entry : read.values()) {
            WatchedEntry held = entries.get(entry.key());
            if (held == null || held.revision() != entry.revision()) {
                news.add(entry);
            }
        }
        news.forEach(this::put);
        completeRevision = revision;
        // An entry that was written and removed in between leaves no trace, and another instance may still hold it.
        changedRevision = revision;
        return news;
    }

    private void put(WatchedEntry change) {
        changedRevision = Math.max(changedRevision, change.revision());
        if (change.value() == null) {
            entries.remove(change.key());
        } else {
            entries.put(change.key(), change);
        }
    }
}
