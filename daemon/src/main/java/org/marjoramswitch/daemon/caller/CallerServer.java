package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.xnio.Options;
import org.xnio.XnioExecutor;

/** HTTP server that callers connect to. */
public final class CallerServer implements AutoCloseable {
    /** The worker only parses large bodies; nothing blocks. */
    private static final int WORKER_THREADS = 1;

    private static final long KEY_TICK_MS = 100;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_HEADERS = 100;

    private final Undertow undertow;
    private final XnioExecutor.Key ticks;

    private CallerServer(Undertow undertow, XnioExecutor.Key ticks) {
        this.undertow = undertow;
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
        CallIntake intake = CallIntake.of(options, submitter, keys, claims, clockMs, budget);
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
        Undertow undertow = build(bind, options, routes);
        undertow.start();
        XnioExecutor.Key ticks =
                undertow.getWorker().getIoThread().executeAtInterval(keys::tick, KEY_TICK_MS, TimeUnit.MILLISECONDS);
        return new CallerServer(undertow, ticks);
    }

    private static Undertow build(HostPort bind, CallerOptions options, Routes routes) {
        return Undertow.builder()
                .addHttpListener(bind.port(), bind.host(), routes)
                .setIoThreads(options.ioThreads())
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(
                        UndertowOptions.REQUEST_PARSE_TIMEOUT, options.times().headTimeoutMs())
                .setServerOption(
                        UndertowOptions.NO_REQUEST_TIMEOUT, options.times().idleTimeoutMs())
                .setServerOption(
                        UndertowOptions.MAX_ENTITY_SIZE, options.maxBodyBytes() + 2 * LingeringClose.MAX_DRAINED_BYTES)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, options.maxConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, options.maxConnections())
                .setSocketOption(Options.TCP_NODELAY, true)
                .build();
    }

    /** The listening address, with the assigned port if port 0 was requested. */
    public HostPort boundAddress() {
        InetSocketAddress address =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        return HostPort.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Closes all connections immediately. A graceful shutdown first waits until all requests have ended. */
    @Override
    public void close() {
        ticks.remove();
        undertow.stop();
    }
}
