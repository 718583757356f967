package org.marjoramswitch.kernel.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage.WatchPosition;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;

/**
 * The entries below one prefix as this instance knows them, and the revision up to which they are complete.
 *
 * <p>The key-value store numbers all changes with one counter, so two instances compare their states by two numbers:
 * the revision up to which an instance knows all changes, and the revision of the last change. An instance whose last
 * change is not newer than the revision up to which the other is complete has no update for it.
 *
 * <p>Not thread-safe.
 */
final class WatchedPrefix {
    /** Bounds the memory for removals. A peer that may lack an older one gets a complete copy instead. */
    private static final int MAX_REMOVALS = 256;

    private final String prefix;
    private final Map<String, WatchedEntry> entries = new TreeMap<>();
    /** The latest removals, in the order of arrival. */
    private final Deque<WatchedEntry> removals = new ArrayDeque<>();

    private long completeRevision;
    private long changedRevision;
    /** All removals after this revision are among the latest ones. */
    private long removalsKnownAfter;

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

    boolean hasChangeAfter(long revision) {
        return changedRevision > revision;
    }

    /** Returns the changes after a revision; null if a removal among them may be missing. */
    @Nullable
    List<WatchedEntry> changesAfter(long revision) {
        if (revision < removalsKnownAfter) {
            return null;
        }
        return Stream.concat(removals.stream(), entries.values().stream())
                .filter(change -> change.revision() > revision)
                .sorted(Comparator.comparingLong(WatchedEntry::revision))
                .toList();
    }

    /** Returns the changes that turn the given entries into the current ones. */
    List<WatchedEntry> differencesFrom(Collection<WatchedEntry> others) {
        Map<String, Long> revisions = new TreeMap<>();
        // The later pages of a read may contain newer entries.
        Set<String> newer = new HashSet<>();
        for (WatchedEntry entry : others) {
            if (entry.revision() > completeRevision) {
                newer.add(entry.key());
            } else {
                revisions.put(entry.key(), entry.revision());
            }
        }
        List<WatchedEntry> differences = new ArrayList<>();
        for (WatchedEntry entry : entries.values()) {
            Long other = revisions.remove(entry.key());
            if (!newer.contains(entry.key()) && (other == null || other != entry.revision())) {
                differences.add(entry);
            }
        }
        revisions.keySet().forEach(key -> differences.add(WatchedEntry.removed(key, completeRevision)));
        return differences;
    }

    /**
     * Applies changes of the revisions after {@code fromRevision}, in order.
     *
     * @return the changes that are new here; null if changes before them are missing
     */
    @Nullable
    List<WatchedEntry> advance(long fromRevision, long toRevision, Collection<WatchedEntry> changes) {
        if (fromRevision > completeRevision) {
            return null;
        }
        List<WatchedEntry> newChanges = new ArrayList<>();
        for (WatchedEntry change : changes) {
            if (change.revision() > completeRevision) {
                put(change);
                newChanges.add(change);
            }
        }
        completeRevision = Math.max(completeRevision, toRevision);
        return newChanges;
    }

    /** Replaces all entries by those of a later revision; returns the differences as changes. */
    List<WatchedEntry> replace(long revision, Collection<WatchedEntry> all) {
        if (revision <= completeRevision) {
            return List.of();
        }
        Map<String, WatchedEntry> read = new TreeMap<>();
        all.forEach(entry -> read.put(entry.key(), entry));
        List<WatchedEntry> newChanges = new ArrayList<>();
        for (WatchedEntry known : List.copyOf(entries.values())) {
            if (!read.containsKey(known.key())) {
                newChanges.add(WatchedEntry.removed(known.key(), revision));
            }
        }
        for (WatchedEntry entry : read.values()) {
            WatchedEntry known = entries.get(entry.key());
            if (known == null || known.revision() != entry.revision()) {
                newChanges.add(entry);
            }
        }
        newChanges.forEach(this::put);
        completeRevision = revision;
        // An entry that was written and removed in between is not visible here, but another instance may still hold it.
        changedRevision = revision;
        removals.clear();
        removalsKnownAfter = revision;
        return newChanges;
    }

    private void put(WatchedEntry change) {
        changedRevision = Math.max(changedRevision, change.revision());
        if (change.value() == null) {
            entries.remove(change.key());
            addRemoval(change);
        } else {
            entries.put(change.key(), change);
        }
    }

    private void addRemoval(WatchedEntry removal) {
        removals.add(removal);
        if (removals.size() > MAX_REMOVALS) {
            removalsKnownAfter = Math.max(removalsKnownAfter, removals.remove().revision());
        }
    }
}
