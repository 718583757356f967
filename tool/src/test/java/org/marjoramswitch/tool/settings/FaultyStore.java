package org.marjoramswitch.tool.settings;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marjoramswitch.daemon.platform.ForwardingKeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;

/** A store whose first write goes wrong in a way of the test's choice. */
final class FaultyStore extends ForwardingKeyValueStore {
    private final FirstWrite firstWrite;
    private boolean written;

    FaultyStore(KeyValueStore store, FirstWrite firstWrite) {
        super(store);
        this.firstWrite = firstWrite;
    }

    /** What becomes of the first write; the call carries it out. */
    interface FirstWrite {
        KeyValueResult<Boolean> answer(Runnable call);
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        if (written) {
            return super.compareAndSwap(expectedModRevisions, puts, deletes, leaseId);
        }
        written = true;
        return CompletableFuture.completedFuture(
                firstWrite.answer(() -> super.compareAndSwap(expectedModRevisions, puts, deletes, leaseId)
                        .join()));
    }

    /** The store is the test's to close. */
    @Override
    public void close() {}
}
