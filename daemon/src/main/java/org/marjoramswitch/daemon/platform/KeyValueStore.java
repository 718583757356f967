package org.marjoramswitch.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The platform's key-value store. Every call completes within its timeout with a typed result. */
public interface KeyValueStore extends AutoCloseable {

    CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key);

    /** All entries whose key begins with {@code prefix}, ordered by key, and the revision at which they were read. */
    CompletableFuture<KeyValueResult<Range>> range(String prefix);

    /**
     * Applies all {@code puts} and {@code deletes} atomically if every key in {@code expectedModRevisions} still has
     * that modification revision (0: does not exist); otherwise changes nothing. The value is true if they were
     * applied.
     */
    CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId);

    /** Creates a lease; the value is its id. */
    CompletableFuture<KeyValueResult<Long>> grantLease(long ttlSeconds);

    /** Renews a lease; the value is its remaining time in seconds, 0 or less if it has expired. */
    CompletableFuture<KeyValueResult<Long>> renewLease(long leaseId);

    CompletableFuture<KeyValueResult<Boolean>> revokeLease(long leaseId);

    /**
     * Watches a prefix from the revision after {@code afterRevision}. A watch that breaks reports
     * {@link WatchEvent.Broken} and is not re-established automatically.
     */
    AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener);

    /** Whether the store has not been restored from an older copy between two of its revisions, as far as it reports. */
    default boolean isSameHistory(long revision, long laterRevision) {
        return true;
    }

    /** Number of calls made so far; a watch call that waits for changes counts as one. */
    long calls();

    @Override
    void close();

    /** An entry with its revisions and lease id. */
    record Entry(String key, String value, long createRevision, long modRevision, long version, long leaseId) {}

    /** The result of a range read. */
    record Range(List<Entry> entries, long revision) {}

    /** An event of a watch. */
    sealed interface WatchEvent {
        record Put(Entry entry) implements WatchEvent {}

        record Deleted(String key, long revision) implements WatchEvent {}

        /**
         * All changes up to this revision have been delivered. Not every store reports it; watchers that only follow
         * the entries ignore it.
         */
        record Progress(long revision) implements WatchEvent {}

        record Broken() implements WatchEvent {}
    }
}
