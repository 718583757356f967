package org.marjoramswitch.tool.settings;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marjoramswitch.daemon.platform.ForwardingKeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;

/** A store whose first write fails in a way that the test defines. */
final class FaultyStore extends ForwardingKeyValueStore {
    private final FirstWrite firstWrite;
    private boolean written;

    FaultyStore(KeyValueStore store, FirstWrite firstWrite) {
        super(store);
        this.firstWrite = firstWrite;
    }

    /** Replaces the first write; {@code call} executes it on the underlying store. */
    interface FirstWrite {
        KeyValueResult<Boolean> execute(Runnable call);
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        if (written) {
            return super.compareAndSwap(expectedModRevisions, puts, deletes, leaseId);
        }
        written = true;
        return CompletableFuture.completedFuture(
                firstWrite.execute(() -> super.compareAndSwap(expectedModRevisions, puts, deletes, leaseId)
                        .join()));
    }

    /** Does nothing, since the test closes the underlying store. */
    @Override
    public void close() {}
}
