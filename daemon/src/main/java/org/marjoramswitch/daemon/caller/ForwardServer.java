package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.UncheckedIOException;
import java.util.ArrayList;
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
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** HTTP server of an instance that forwards requests on the operators' routes. */
public final class ForwardServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    /** The other listeners read no bodies; Undertow discards those that are sent to them. */
    private static final long MAX_OTHER_BODY_BYTES = 1 << 20;

    private final List<AutoCloseable> listeners;
    private final RecentLimits limits;
    private final LongSupplier clockMs;
    private final LagProbe lag;
    private final RejectionLog rejectionLog;
    private final @Nullable AdmissionGate gate;

    private ForwardServer(
            List<AutoCloseable> listeners,
            RecentLimits limits,
            LongSupplier clockMs,
            LagProbe lag,
            RejectionLog rejectionLog,
            @Nullable AdmissionGate gate) {
        this.listeners = listeners;
        this.limits = limits;
        this.clockMs = clockMs;
        this.rejectionLog = rejectionLog;
        this.lag = lag;
        this.gate = gate;
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
        RecentLimits limits = RecentLimits.unknown();
        List<AutoCloseable> listeners = listeners(parts, worker, limits, forward, gate, lag, metrics);
        return new ForwardServer(listeners, limits, parts.clockMs(), lag, rejectionLog, gate);
    }

    private static ForwardHandler.Admission admission(AdmissionGate gate, LagProbe lag) {
        return request -> {
            lag.sampleOverdue();
            return gate.admit(request);
        };
    }

    /** Opens the listeners of all addresses; if one cannot be bound, the others are closed again. */
    private static List<AutoCloseable> listeners(
            Parts parts,
            XnioWorker worker,
            RecentLimits limits,
            HttpHandler forward,
            @Nullable AdmissionGate gate,
            LagProbe lag,
            MetricRegistry metrics) {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        CallerConnections connections =
                CallerConnections.of(worker, limits, parts.clockMs(), ConnectionEnds.of(metrics));
        OptionMap options = OptionMap.create(UndertowOptions.DECODE_URL, false);
        OptionMap otherOptions = OptionMap.builder()
                .addAll(options)
                .set(UndertowOptions.MAX_ENTITY_SIZE, MAX_OTHER_BODY_BYTES)
                .getMap();
        int max = parts.options().maxConnections();
        List<AutoCloseable> opened = new ArrayList<>();
        try {
            CallerConnections.Http callers = connections.serve(buffers, options, forward);
            opened.add(
                    gate == null
                            ? HttpListener.open(worker, parts.callers(), callers, max)
                            : PacedListener.open(
                                    worker,
                                    parts.callers(),
                                    callers,
                                    server -> acceptorParts(parts, gate, lag, metrics, server)));
            parts.others()
                    .forEach((address, handler) -> opened.add(HttpListener.open(
                            worker, address, connections.serve(buffers, otherOptions, handler), max)));
            return opened;
        } catch (UncheckedIOException e) {
            opened.forEach(IoUtils::safeClose);
            throw e;
        }
    }

    private static CallerAcceptor.Parts acceptorParts(
            Parts parts, AdmissionGate gate, LagProbe lag, MetricRegistry metrics, CallerAcceptor.Server server) {
        return new CallerAcceptor.Parts(
                parts.options().maxConnections(),
                parts.admission().processorMillicores(),
                UnreadHeadParser.of(parts.decoder().sizeHeaders()),
                UnreadRequests.of(parts.decoder(), parts.settings())::of,
                customers -> gate.chooseWaiting(customers, lag.overdueMs()),
                () -> gate.mayAccept(lag.overdueMs()),
                gate::maxWaitMs,
                server,
                PreparedRejections.create(parts.decoder()),
                UnreadRejectionReport.create(metrics, gate::rejectedUnread),
                AcceptReport.create(metrics),
                parts.clockMs());
    }

    private static List<XnioIoThread> ioThreads(XnioWorker worker) {
        return IntStream.range(0, worker.getIoThreadCount())
                .mapToObj(worker::getIoThread)
                .toList();
    }

    /** Applies the limits to open and to new connections, see {@link RecentLimits}. */
    public void applyLimits(CallerLimits newest) {
        limits.apply(newest, clockMs.getAsLong());
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
        listeners.forEach(IoUtils::safeClose);
        rejectionLog.flush();
    }
}
