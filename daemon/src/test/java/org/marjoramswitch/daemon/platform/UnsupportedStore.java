package org.marjoramswitch.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Store whose calls throw {@link UnsupportedOperationException}; a test overrides the calls that it uses. */
public abstract class UnsupportedStore implements KeyValueStore {
    @Override
    public CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> grantLease(long ttlSeconds) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> renewLease(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> revokeLease(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
