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
 * Calls to a key-value service that speaks HTTP with JSON bodies, over Undertow's client: connections, budget, timeouts
 * and what each failure means. Which calls there are and what stands in their bodies is the service's own matter.
 *
 * <p>All connections and all state live on one IO thread of the worker. Results are completed on the worker's task
 * threads, so what a caller does with them cannot hold up the store.
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
     * A client of these addresses; connects with the first call.
     *
     * @param revisionOf the service's revision in the body and headers of an answer, 0 where it has none
     */
    public static StoreClient start(
            List<HostPort> addresses,
            KeyValueOptions options,
            XnioWorker worker,
            MetricRegistry metrics,
            ToLongBiFunction<JsonNode, HeaderMap> revisionOf) {
        return start(addresses, options, worker, metrics, revisionOf, StoreClient::steadyMs);
    }

    /** As above, with a clock of the caller's own. */
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

    /** The wall clock may be set while a call waits, and its time would then end at once or never. */
    private static long steadyMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    GatewayRuntime runtime() {
        return runtime;
    }

    GatewayCaller caller() {
        return caller;
    }

    /** A call that changes nothing; made again within its time where no answer came. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> read(
            String method, String path, String body, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        submit(GatewayCall.repeatable(method, path, body, callDeadlineMs(), outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** A call that changes something; never made again once it may have arrived. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> write(
            String method, String path, String body, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        submit(GatewayCall.once(method, path, body, callDeadlineMs(), outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** A call that the service may leave unanswered for a while, made once. */
    public <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> poll(
            String method, String path, long timeoutMs, Function<JsonNode, T> decode) {
        Pending<T> pending = new Pending<>(path, decode, runtime.nowMs());
        long deadlineMs = pending.startedAtMs() + timeoutMs;
        submit(GatewayCall.once(method, path, "", deadlineMs, outcome -> complete(pending, outcome)));
        return pending.result();
    }

    /** The steady time by which calls are timed. */
    public long nowMs() {
        return runtime.nowMs();
    }

    /** Runs a task later, on the IO thread; it must not block. */
    public void after(long delayMs, Runnable task) {
        try {
            runtime.after(delayMs, task);
        } catch (RejectedExecutionException e) {
            LOG.debug("platform_store_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    /** Calls made so far. */
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
            call.end(new GatewayCall.Outcome.NotSent("the worker is stopped"));
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
        runtime.metrics().ended(result.getClass().getSimpleName());
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
        if (outcome instanceof GatewayCall.Outcome.Cut cut) {
            return new KeyValueResult.OutcomeUnknown<>(cut.reason());
        }
        GatewayCall.Outcome.Answer answer = (GatewayCall.Outcome.Answer) outcome;
        if (answer.status() != HTTP_OK) {
            return new KeyValueResult.Rejected<>(answer.status(), GatewayCodec.errorMessage(answer.body()));
        }
        try {
            JsonNode body = GatewayCodec.parse(answer.body());
            return new KeyValueResult.Answered<>(decode.apply(body), revisionOf.applyAsLong(body, answer.headers()));
        } catch (IOException | IllegalArgumentException e) {
            return new KeyValueResult.OutcomeUnknown<>("unreadable answer: " + e.getMessage());
        }
    }

    /** A call whose outcome is awaited. */
    private record Pending<T extends @Nullable Object>(
            String path, Function<JsonNode, T> decode, long startedAtMs, CompletableFuture<KeyValueResult<T>> result) {
        private Pending(String path, Function<JsonNode, T> decode, long startedAtMs) {
            this(path, decode, startedAtMs, new CompletableFuture<>());
        }
    }
}
