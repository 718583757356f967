package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongBiFunction;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;
import org.xnio.XnioWorker;

/**
 * Client of a key-value store with an HTTP and JSON interface, over Undertow's client. Handles connections, the call
 * budget, timeouts and the classification of failures; the callers define paths and bodies.
 *
 * <p>All connections and state are confined to one I/O thread of the worker. Results are completed on the worker's task
 * threads, so a slow callback cannot block the client.
 */
public final class StoreClient implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(StoreClient.class);
    private static final int HTTP_OK = 200;

    private final XnioWorker worker;
    private final GatewayRuntime runtime;
    private final GatewayCaller caller;
    private final ToLongBiFunction<JsonNode, HeaderMap> revisionOf;

    private StoreClient(
            List<HostPort> addresses,
            XnioWorker worker,
            GatewayRuntime runtime,
            ToLongBiFunction<JsonNode, HeaderMap> revisionOf) {
        this.worker = worker;
        this.runtime = runtime;
        this.caller = GatewayCaller.on(runtime, GatewayAddresses.of(addresses, runtime.options()));
        this.revisionOf = revisionOf;
    }

    /**
     * Creates a client of these addresses; connects on the first call.
     *
     * @param revisionOf extracts the store's revision from the body and headers of a response, 0 if it has none
     */
    public static StoreClient start(
            List<HostPort> addresses,
            KeyValueOptions options,
            XnioWorker worker,
            MetricRegistry metrics,
            ToLongBiFunction<JsonNode, HeaderMap> revisionOf) {
        return start(addresses, options, worker, metrics, revisionOf, StoreClient::monotonicMs);
    }

    /** As above, with the given clock. */
    static StoreClient start(
            List<HostPort> addresses,
            KeyValueOptions options,
            XnioWorker worker,
            MetricRegistry metrics,
            ToLongBiFunction<JsonNode, HeaderMap> revisionOf,
            LongSupplier clock) {
        GatewayRuntime runtime = new GatewayRuntime(worker.getIoThread(), clock, options, PlatformMetrics.in(metrics));
        return new StoreClient(addresses, worker, runtime, revisionOf);
    }

    /** Monotonic, because a change of the wall clock would expire waiting calls immediately or never. */
    private static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    GatewayRuntime runtime() {
        return runtime;
    }

    GatewayCaller caller() {
        return caller;
    }

    /** Sends a call without side effects; retried until its deadline if no response is received. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> read(
            String method, String path, String body, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        submit(GatewayCall.repeatable(method, path, body, callDeadlineMs(), outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** Sends a call with side effects; never retried once it may have arrived. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> write(
            String method, String path, String body, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        submit(GatewayCall.once(method, path, body, callDeadlineMs(), outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** Sends a long-polling call, at most once; the store may delay its response up to the timeout. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> poll(
            String method, String path, long timeoutMs, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        long deadlineMs = pending.startedAtMs() + timeoutMs;
        submit(GatewayCall.once(method, path, "", deadlineMs, outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** Current time of the monotonic clock used for timeouts. */
    public long nowMs() {
        return runtime.nowMs();
    }

    /** Runs a task on the I/O thread after a delay; the task must not block. */
    public void after(long delayMs, Runnable task) {
        try {
            runtime.after(delayMs, task);
        } catch (RejectedExecutionException e) {
            LOG.debug("platform_store_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    /** Number of calls made so far. */
    public long calls() {
        return runtime.metrics().calls();
    }

    @Override
    public void close() {
        try {
            runtime.ioThread().execute(caller::close);
        } catch (RejectedExecutionException e) {
            LOG.debug("platform_store_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private long callDeadlineMs() {
        return runtime.nowMs() + runtime.options().timeouts().callMs();
    }

    private void submit(GatewayCall call) {
        try {
            runtime.ioThread().execute(() -> caller.start(call));
        } catch (RejectedExecutionException e) {
            call.complete(new GatewayCall.Outcome.NotSent("the worker is stopped"));
        }
    }

    private <T extends @Nullable Object> void complete(Pending<T> pending, GatewayCall.Outcome outcome) {
        long tookMs = runtime.nowMs() - pending.startedAtMs();
        Runnable completion = () -> pending.result().complete(resultOf(pending, outcome, tookMs));
        try {
            worker.execute(completion);
        } catch (RejectedExecutionException e) {
            completion.run();
        }
    }

    private <T extends @Nullable Object> KeyValueResult<T> resultOf(
            Pending<T> pending, GatewayCall.Outcome outcome, long tookMs) {
        KeyValueResult<T> result = interpret(outcome, pending.decode());
        runtime.metrics().countResult(result.getClass().getSimpleName());
        if (result instanceof KeyValueResult.Rejected<T> rejected) {
            LOG.warn(
                    "platform_call_rejected",
                    "type",
                    ErrorType.PLATFORM_REJECTED,
                    "path",
                    pending.path(),
                    "status",
                    rejected.status(),
                    "reason",
                    rejected.reason(),
                    "tookMs",
                    tookMs);
        }
        return result;
    }

    private <T extends @Nullable Object> KeyValueResult<T> interpret(
            GatewayCall.Outcome outcome, Function<JsonNode, T> decode) {
        if (outcome instanceof GatewayCall.Outcome.NotSent notSent) {
            return new KeyValueResult.NotSent<>(notSent.reason());
        }
        if (outcome instanceof GatewayCall.Outcome.Failed failed) {
            return new KeyValueResult.OutcomeUnknown<>(failed.reason());
        }
        GatewayCall.Outcome.Response response = (GatewayCall.Outcome.Response) outcome;
        if (response.status() != HTTP_OK) {
            return new KeyValueResult.Rejected<>(response.status(), GatewayCodec.errorMessage(response.body()));
        }
        try {
            JsonNode body = GatewayCodec.parse(response.body());
            return new KeyValueResult.Answered<>(decode.apply(body), revisionOf.applyAsLong(body, response.headers()));
        } catch (IOException | IllegalArgumentException e) {
            return new KeyValueResult.OutcomeUnknown<>("malformed response: " + e.getMessage());
        }
    }

    /** A call in progress. */
    private record Pending<T extends @Nullable Object>(
            String path, Function<JsonNode, T> decode, long startedAtMs, CompletableFuture<KeyValueResult<T>> result) {
        private Pending(String path, Function<JsonNode, T> decode, long startedAtMs) {
            this(path, decode, startedAtMs, new CompletableFuture<>());
        }
    }
}
