package org.marjoramswitch.daemon.configuration;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;

/** Delivers the results of key-value store calls to the loop's thread. */
final class StoreCalls {
    private final LoopInbox inbox;

    private StoreCalls(LoopInbox inbox) {
        this.inbox = inbox;
    }

    static StoreCalls of(LoopInbox inbox) {
        return new StoreCalls(inbox);
    }

    /** Calls {@code reply} on the loop's thread. If the inbox is full the result is lost, so callers need a timeout. */
    <T extends @Nullable Object> void then(CompletableFuture<KeyValueResult<T>> call, Reply<T> reply) {
        var unused =
                call.whenComplete((result, error) -> inbox.offer(nowMs -> reply.on(resultOf(result, error), nowMs)));
    }

    private static <T extends @Nullable Object> KeyValueResult<T> resultOf(
            @Nullable KeyValueResult<T> result, @Nullable Throwable error) {
        return result == null ? new KeyValueResult.OutcomeUnknown<>(String.valueOf(error)) : result;
    }

    /** Handles the result of a store call. */
    @FunctionalInterface
    interface Reply<T extends @Nullable Object> {
        void on(KeyValueResult<T> result, long nowMs);
    }
}
