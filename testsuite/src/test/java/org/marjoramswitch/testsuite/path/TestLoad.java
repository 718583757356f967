package org.marjoramswitch.testsuite.path;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.marjoramswitch.testsuite.path.TestCaller.Response;

/** Closed-loop load: keeps a fixed number of calls open and records each response. */
final class TestLoad {
    private static final long PAUSE_AFTER_FAILURE_MS = 20;

    private final IntFunction<CompletableFuture<Response>> call;
    private final Queue<Response> responses = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lastNumber = new AtomicInteger();
    private final List<CompletableFuture<Void>> loops;
    private volatile boolean stopped;

    private TestLoad(int concurrency, IntFunction<CompletableFuture<Response>> call) {
        this.call = call;
        this.loops = Stream.generate(this::next).limit(concurrency).toList();
    }

    /** @param call starts the call with this number, counted from 1 */
    static TestLoad start(int concurrency, IntFunction<CompletableFuture<Response>> call) {
        return new TestLoad(concurrency, call);
    }

    private CompletableFuture<Void> next() {
        return call.apply(lastNumber.incrementAndGet()).thenCompose(response -> {
            responses.add(response);
            if (stopped) {
                return CompletableFuture.completedFuture(null);
            }
            return response.isSuccessful() ? next() : pause().thenCompose(paused -> next());
        });
    }

    private static CompletableFuture<Void> pause() {
        return new CompletableFuture<Void>().completeOnTimeout(null, PAUSE_AFTER_FAILURE_MS, TimeUnit.MILLISECONDS);
    }

    int ended() {
        return responses.size();
    }

    long successful() {
        return responses.stream().filter(Response::isSuccessful).count();
    }

    /** Starts no further calls, waits for the open ones and returns all responses. */
    List<Response> stop() {
        stopped = true;
        loops.forEach(CompletableFuture::join);
        return List.copyOf(responses);
    }
}
