package org.marjoramswitch.daemon.configuration;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;

/** Brings the results of calls to the platform's service back to the duty's thread. */
final class StoreCalls {
    private final LoopInbox inbox;

    private StoreCalls(LoopInbox inbox) {
        this.inbox = inbox;
    }

    static StoreCalls of(LoopInbox inbox) {
        return new StoreCalls(inbox);
    }

    /** Where the inbox is full the result is lost; whoever waits for it has a deadline of its own. */
    <T extends @Nullable Object> void then(CompletableFuture<KeyValueResult<T>> call, Reply<T> reply) {
        var unused =
                call.whenComplete((result, error) -> inbox.offer(nowMs -> reply.on(resultOf(result, error), nowMs)));
    }

    private static <T extends @Nullable Object> KeyValueResult<T> resultOf(
            @Nullable KeyValueResult<T> result, @Nullable Throwable error) {
        return result == null ? new KeyValueResult.OutcomeUnknown<>(String.valueOf(error)) : result;
    }

    /** What to do with a result. */
    @FunctionalInterface
    interface Reply<T extends @Nullable Object> {
        void on(KeyValueResult<T> result, long nowMs);
    }
}
