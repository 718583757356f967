package org.marjoramswitch.daemon.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;

/** Creates many independent keys in one call. */
@FunctionalInterface
public interface KeyValueBatch {
    /** Maximum number of keys per call: etcd's default limit on the operations of a transaction. */
    int MAX_KEYS = 128;

    /**
     * Creates each key that does not exist; existing keys stay unchanged and do not affect the others. The value holds,
     * in the map's order, null for a key created by this call and the existing entry for any other key.
     */
    CompletableFuture<KeyValueResult<List<@Nullable Entry>>> createEach(Map<String, String> entries, long leaseId);
}
