package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.addresses.HeadroomRamp;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** HTTP server of an instance that forwards requests on the operators' routes. */
public final class ForwardServer implements AutoCloseable {
    private static final int MAX_HEADERS = 100;
    private static final int BUFFER_BYTES = 16 << 10;

    private final Undertow undertow;
    private final LagProbe lag;
    private final RejectionLog rejectionLog;
    private final @Nullable AdmissionGate gate;
    private final @Nullable PacedListener paced;

    private ForwardServer(
            Undertow undertow,
            LagProbe lag,
            RejectionLog rejectionLog,
            @Nullable AdmissionGate gate,
            @Nullable PacedListener paced) {
        this.rejectionLog = rejectionLog;
        this.undertow = undertow;
        this.lag = lag;
        this.gate = gate;
        this.paced = paced;
    }

    /**
     * Configuration and dependencies of the server.
     *
     * @param callers address that callers connect to
     * @param others handlers of further listening addresses
     * @param leaving whether the instance is draining
     * @param decisionsLagMs how long the last event waited to be processed by the decision loop
     * @param admission options of the admission control
     */
    public record Parts(
            HostPort callers,
            Map<HostPort, HttpHandler> others,
            CallerOptions options,
            CallDecoder decoder,
            RequestSubmitter submitter,
            Supplier<RoutedSettings> settings,
            BooleanSupplier leaving,
            LongSupplier decisionsLagMs,
            LongSupplier clockMs,
            AdmissionOptions admission) {}

    /**
     * Binds all addresses and starts serving.
     *
     * @throws RuntimeException if an address cannot be bound
     */
    public static ForwardServer start(Parts parts, XnioWorker worker, MetricRegistry metrics) {
        MemoryBudget budget = MemoryBudget.of(parts.options().maxBufferedBytes());
        AdmissionGate gate =
                parts.admission().isActive() ? AdmissionGate.create(parts.admission(), parts.clockMs(), metrics) : null;
        LagProbe lag = LagProbe.start(
                ioThreads(worker),
                parts.decisionsLagMs(),
                parts.clockMs(),
                gate == null ? LagProbe.Listener.NONE : gate);
        CallerMetrics callerMetrics = CallerMetrics.of(metrics, budget);
        RejectionLog rejectionLog = RejectionLog.create();
        ForwardHandler forward = new ForwardHandler(
                parts.options(),
                parts.decoder(),
                parts.submitter(),
                parts.settings(),
                parts.leaving(),
                gate == null ? lag::isLagging : () -> false,
                parts.options().cheapRejections()
                        ? CheapRejections.create(parts.decoder(), callerMetrics, rejectionLog)
                        : null,
                gate == null ? null : admission(gate, lag),
                budget,
                parts.clockMs(),
                callerMetrics);
        Undertow undertow = listeners(parts, worker, gate == null ? forward : null);
        undertow.start();
        PacedListener paced = gate == null ? null : pacedListener(parts, worker, forward, gate, lag, metrics);
        ForwardServer server = new ForwardServer(undertow, lag, rejectionLog, gate, paced);
        server.applyLimits(CallerLimits.DEFAULT);
        return server;
    }

    private static ForwardHandler.Admission admission(AdmissionGate gate, LagProbe lag) {
        return request -> {
            lag.sampleOverdue();
            return gate.admit(request);
        };
    }

    /** @param forward handler of the callers' address; null if another listener serves it */
    private static Undertow listeners(Parts parts, XnioWorker worker, @Nullable HttpHandler forward) {
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, parts.options().maxConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, parts.options().maxConnections())
                .setSocketOption(Options.TCP_NODELAY, true);
        if (forward != null) {
            builder.addHttpListener(parts.callers().port(), parts.callers().host(), forward);
        }
        parts.others().forEach((address, handler) -> builder.addHttpListener(address.port(), address.host(), handler));
        return builder.build();
    }

    private static PacedListener pacedListener(
            Parts parts,
            XnioWorker worker,
            HttpHandler forward,
            AdmissionGate gate,
            LagProbe lag,
            MetricRegistry metrics) {
        return PacedListener.open(
                worker,
                parts.callers(),
                forward,
                new DefaultByteBufferPool(true, BUFFER_BYTES),
                server -> new CallerAcceptor.Parts(
                        parts.options().maxConnections(),
                        parts.admission().processorMillicores(),
                        () -> gate.mayAccept(lag.overdueMs()),
                        gate::maxWaitMs,
                        server,
                        TurnedAwayResponses.create(parts.decoder()),
                        TurnedAwayReport.create(metrics, gate::turnedAway),
                        parts.clockMs()));
    }

    private static List<XnioIoThread> ioThreads(XnioWorker worker) {
        return IntStream.range(0, worker.getIoThreadCount())
                .mapToObj(worker::getIoThread)
                .toList();
    }

    /** Applies the limits to new connections. The limit of a body's size is also checked for each request. */
    public void applyLimits(CallerLimits limits) {
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes())
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headTimeoutMs())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs())
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes() + 2 * LingeringClose.MAX_DRAINED_BYTES)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, true)
                .getMap();
        undertow.getListenerInfo().forEach(listener -> listener.setServerOptions(options));
        if (paced != null) {
            paced.setServerOptions(options);
        }
    }

    /** The part of the processor that further requests could use: 0 while the instance rejects requests, up to 100. */
    public int headroomPercent() {
        if (gate != null) {
            return gate.headroomPercent();
        }
        return lag.isBehind() ? 0 : HeadroomRamp.FULL_PERCENT;
    }

    /** Closes all connections immediately. */
    @Override
    public void close() {
        lag.close();
        if (paced != null) {
            paced.close();
        }
        undertow.stop();
        rejectionLog.flush();
    }
}
