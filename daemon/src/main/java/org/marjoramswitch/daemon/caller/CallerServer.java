package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/** HTTP server that callers connect to. */
public final class CallerServer implements AutoCloseable {
    /** The worker only parses large bodies; nothing blocks. */
    private static final int WORKER_THREADS = 1;

    private static final long KEY_TICK_MS = 100;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final long STOP_TIMEOUT_MS = 1_000;

    private final HttpListener listener;
    private final XnioWorker worker;
    private final XnioExecutor.Key ticks;

    private CallerServer(HttpListener listener, XnioWorker worker, XnioExecutor.Key ticks) {
        this.listener = listener;
        this.worker = worker;
        this.ticks = ticks;
    }

    /**
     * Binds and serves.
     *
     * @param keys must also receive the peers' messages about keys
     * @param claims store of the claims on callers' idempotency keys, or {@link Claims#NONE}
     * @param settings the latest accepted settings, or {@link FleetSettings#NONE} before the first
     * @param health queried on every request
     * @param clockMs monotonic clock of the scheduling decisions, for deadlines
     * @param metrics registry that {@code /metrics} exposes and that receives this server's metrics
     * @throws RuntimeException if the address cannot be bound
     */
    public static CallerServer start(
            HostPort bind,
            CallerOptions options,
            RequestSubmitter submitter,
            RequestKeys keys,
            Claims claims,
            InstanceDirectory addresses,
            Supplier<FleetSettings> settings,
            Supplier<Health> health,
            LongSupplier clockMs,
            MetricRegistry metrics) {
        Authenticator authenticator = Authenticator.of(settings);
        MemoryBudget budget = MemoryBudget.of(options.maxBufferedBytes());
        CallIntake intake = CallIntake.of(options, submitter, keys, claims, clockMs);
        CallHandler calls = CallHandler.of(
                options, authenticator, settings, keys, intake, budget, clockMs, CallerMetrics.of(metrics, budget));
        Routes routes = Routes.of(calls, health)
                .post(CallReader.CHAT_PATH, calls)
                .get(
                        "/v1/address",
                        InfoHandlers.address(
                                authenticator, addresses, keys, options.times().addressLifetimeMs()))
                .get("/v1/models", InfoHandlers.models(authenticator, settings))
                .get("/health/live", InfoHandlers.live(health))
                .get("/health/ready", InfoHandlers.ready(health))
                .get("/metrics", InfoHandlers.metrics(metrics));
        XnioWorker worker = worker(options);
        HttpListener listener = listen(bind, options, worker, routes, clockMs, ConnectionEnds.of(metrics));
        XnioExecutor.Key ticks = worker.getIoThread().executeAtInterval(keys::tick, KEY_TICK_MS, TimeUnit.MILLISECONDS);
        return new CallerServer(listener, worker, ticks);
    }

    private static XnioWorker worker(CallerOptions options) {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, options.ioThreads())
                            .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                            .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static HttpListener listen(
            HostPort bind,
            CallerOptions options,
            XnioWorker worker,
            Routes routes,
            LongSupplier clockMs,
            ConnectionEnds ends) {
        CallerLimits limits = new CallerLimits(
                MAX_HEAD_BYTES,
                options.maxBodyBytes(),
                options.times().headTimeoutMs(),
                options.times().idleTimeoutMs());
        OptionMap undertowOptions = OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .getMap();
        CallerConnections connections = CallerConnections.of(worker, RecentLimits.fixed(limits), clockMs, ends);
        try {
            return HttpListener.open(
                    worker,
                    bind,
                    connections.serve(new DefaultByteBufferPool(true, BUFFER_BYTES), undertowOptions, routes),
                    options.maxConnections());
        } catch (UncheckedIOException e) {
            worker.shutdownNow();
            throw e;
        }
    }

    /** The listening address, with the assigned port if port 0 was requested. */
    public HostPort boundAddress() {
        return listener.boundAddress();
    }

    /** Closes all connections immediately. A graceful shutdown first waits until all requests have ended. */
    @Override
    public void close() {
        ticks.remove();
        listener.close();
        worker.shutdown();
        try {
            worker.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        worker.shutdownNow();
    }
}
