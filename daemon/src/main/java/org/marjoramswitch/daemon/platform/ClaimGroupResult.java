package org.marjoramswitch.daemon.platform;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;

/** Result of an attempt to write one group of claims. */
sealed interface ClaimGroupResult {

    /**
     * For each claim of the group, in order: null if its entry was created, otherwise the entry that already existed.
     */
    record Decided(List<@Nullable Entry> existing, long leaseId) implements ClaimGroupResult {}

    /** Nothing was written and the write may be retried; without a backoff if {@code retryNow}. */
    record NotWritten(String reason, boolean retryNow) implements ClaimGroupResult {}

    /** The group may have been written. */
    record Uncertain(String reason) implements ClaimGroupResult {}

    /** The store rejects this group permanently. */
    record Refused(String reason) implements ClaimGroupResult {}
}
