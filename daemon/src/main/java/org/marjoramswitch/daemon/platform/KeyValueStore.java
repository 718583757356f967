package org.marjoramswitch.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The platform's key-value service. Every call ends within its timeout with a typed result. */
public interface KeyValueStore extends AutoCloseable {

    CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key);

    /** All entries whose key begins with {@code prefix}, by key, and the revision at which they were read. */
    CompletableFuture<KeyValueResult<Range>> range(String prefix);

    /**
     * Writes all of {@code puts} and {@code deletes} where every key in {@code expectedModRevisions} still has that
     * modification revision (0: does not exist); otherwise nothing. The value tells which of the two happened.
     */
    CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId);

    /** A new lease; the value is its id. */
    CompletableFuture<KeyValueResult<Long>> grantLease(long ttlSeconds);

    /** Renews a lease; the value is its remaining time in seconds, 0 or less where it has lapsed. */
    CompletableFuture<KeyValueResult<Long>> renewLease(long leaseId);

    CompletableFuture<KeyValueResult<Boolean>> revokeLease(long leaseId);

    /**
     * Watches a prefix from the revision after {@code afterRevision}; a watch that breaks says so by
     * {@link WatchEvent.Broken} and is not taken up again by itself.
     */
    AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener);

    /** Calls made so far, each waiting watch counted as one. */
    long calls();

    @Override
    void close();

    /** One entry. */
    record Entry(String key, String value, long createRevision, long modRevision, long version, long leaseId) {}

    /** The result of a range read. */
    record Range(List<Entry> entries, long revision) {}

    /** What a watch brings. */
    sealed interface WatchEvent {
        record Put(Entry entry) implements WatchEvent {}

        record Deleted(String key, long revision) implements WatchEvent {}

        /**
         * All changes up to this revision have been told; not every service tells it. Watchers that only follow the entries
         * pass it over.
         */
        record Progress(long revision) implements WatchEvent {}

        record Broken() implements WatchEvent {}
    }
}
