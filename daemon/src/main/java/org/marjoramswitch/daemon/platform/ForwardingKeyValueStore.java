package org.marjoramswitch.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Forwards every call to another store; subclasses override the calls that they change. */
public class ForwardingKeyValueStore implements KeyValueStore {
    private final KeyValueStore store;

    protected ForwardingKeyValueStore(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
        return store.range(prefix);
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        return store.compareAndSwap(expectedModRevisions, puts, deletes, leaseId);
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> grantLease(long ttlSeconds) {
        return store.grantLease(ttlSeconds);
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> renewLease(long leaseId) {
        return store.renewLease(leaseId);
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener) {
        return store.watch(prefix, afterRevision, listener);
    }

    @Override
    public boolean isSameHistory(long revision, long laterRevision) {
        return store.isSameHistory(revision, laterRevision);
    }

    @Override
    public long calls() {
        return store.calls();
    }

    @Override
    public void close() {
        store.close();
    }
}
