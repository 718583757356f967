package org.marjoramswitch.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Entries, revisions, leases and change history of the stand-in store.
 *
 * <p>Thread-safety: callers must hold the monitor of the table, which makes each transaction atomic.
 */
final class KeyValueTable {
    private static final int HISTORY_CHANGES = 20_000;
    private static final String ALL_KEYS_END = "\0";

    private final NavigableMap<String, StoredEntry> entries = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Consumer<List<Change>>> listeners = new CopyOnWriteArrayList<>();
    private final List<Change> uncommitted = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;
    private long lastLeaseId = 7_000;

    long revision() {
        return revision;
    }

    long compactedRevision() {
        return compactedRevision;
    }

    void addListener(Consumer<List<Change>> listener) {
        listeners.add(listener);
    }

    void removeListener(Consumer<List<Change>> listener) {
        listeners.remove(listener);
    }

    @Nullable
    StoredEntry get(String key) {
        return entries.get(key);
    }

    /**
     * Returns the entries from {@code key} (inclusive) to {@code rangeEnd} (exclusive); an empty end selects the one
     * key.
     */
    List<StoredEntry> range(String key, String rangeEnd) {
        if (rangeEnd.isEmpty()) {
            StoredEntry entry = entries.get(key);
            return entry == null ? List.of() : List.of(entry);
        }
        if (rangeEnd.equals(ALL_KEYS_END)) {
            return List.copyOf(entries.tailMap(key, true).values());
        }
        return List.copyOf(entries.subMap(key, true, rangeEnd, false).values());
    }

    static boolean inRange(String candidate, String key, String rangeEnd) {
        if (rangeEnd.isEmpty()) {
            return candidate.equals(key);
        }
        return candidate.compareTo(key) >= 0 && (rangeEnd.equals(ALL_KEYS_END) || candidate.compareTo(rangeEnd) < 0);
    }

    boolean hasLease(long leaseId) {
        return leases.containsKey(leaseId);
    }

    /** Adds a write to the open transaction; {@link #commit()} gives all its writes the same revision. */
    void put(String key, String value, long leaseId) {
        StoredEntry before = entries.get(key);
        long next = revision + 1;
        StoredEntry after = before == null
                ? new StoredEntry(key, value, next, next, 1, leaseId)
                : new StoredEntry(key, value, before.createRevision(), next, before.version() + 1, leaseId);
        entries.put(key, after);
        uncommitted.add(Change.put(after));
    }

    int delete(String key, String rangeEnd) {
        List<StoredEntry> removed = range(key, rangeEnd);
        for (StoredEntry entry : removed) {
            entries.remove(entry.key());
            uncommitted.add(Change.delete(entry.key(), revision + 1));
        }
        return removed.size();
    }

    void commit() {
        if (uncommitted.isEmpty()) {
            return;
        }
        revision++;
        List<Change> changes = List.copyOf(uncommitted);
        uncommitted.clear();
        history.addAll(changes);
        if (history.size() > HISTORY_CHANGES) {
            compact(history.get(history.size() / 2).revision());
        }
        listeners.forEach(listener -> listener.accept(changes));
    }

    /** Removes the changes up to and including {@code throughRevision} from the history. */
    void compact(long throughRevision) {
        compactedRevision = Math.max(compactedRevision, throughRevision);
        history.removeIf(change -> change.revision() <= compactedRevision);
    }

    /** Removes all entries, leases and history, and restarts at the first revision. */
    void reset() {
        entries.clear();
        history.clear();
        leases.clear();
        revision = 1;
        compactedRevision = 0;
    }

    List<Change> changesFrom(long startRevision) {
        return history.stream()
                .filter(change -> change.revision() >= startRevision)
                .toList();
    }

    long grant(long requestedId, long ttlSeconds, long nowMs) {
        long id = requestedId == 0 ? ++lastLeaseId : requestedId;
        leases.put(id, new Lease(ttlSeconds, nowMs + ttlSeconds * 1_000));
        return id;
    }

    /** Returns the time to live of the renewed lease in seconds, or 0 if the lease does not exist. */
    long renew(long leaseId, long nowMs) {
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return 0;
        }
        leases.put(leaseId, new Lease(lease.ttlSeconds(), nowMs + lease.ttlSeconds() * 1_000));
        return lease.ttlSeconds();
    }

    boolean revoke(long leaseId) {
        if (leases.remove(leaseId) == null) {
            return false;
        }
        List<StoredEntry> removed = entries.values().stream()
                .filter(entry -> entry.leaseId() == leaseId)
                .toList();
        removed.forEach(entry -> delete(entry.key(), ""));
        commit();
        return true;
    }

    void expireLeases(long nowMs) {
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMs() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::revoke);
    }

    List<Long> leaseIds() {
        return List.copyOf(leases.keySet());
    }

    private record Lease(long ttlSeconds, long expiresAtMs) {}
}
