package org.marjoramswitch.daemon.target;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient;
import org.marjoramswitch.daemon.target.AttemptSpec.Purpose;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/**
 * Sends calls to targets with Undertow's client, over pooled connections. {@link HttpAttempt} describes the handling of
 * failures.
 */
public final class UndertowTargetClient implements TargetClient, AutoCloseable {
    private static final long SWEEP_INTERVAL_MS = 1_000;

    private final TargetConnector connector;
    private final XnioExecutor.Key sweepTimer;

    private UndertowTargetClient(TargetConnector connector, XnioWorker worker) {
        this.connector = connector;
        this.sweepTimer = worker.getIoThread()
                .executeAtInterval(
                        () -> connector.pool().sweep(connector.nowMs()), SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Uses the worker's I/O threads and starts none. */
    public static UndertowTargetClient start(XnioWorker worker, TargetClientOptions options, MetricRegistry registry) {
        return start(worker, options, TargetProtocol.defaults(), registry);
    }

    /** Starts a client for targets that use the given protocol. */
    public static UndertowTargetClient start(
            XnioWorker worker, TargetClientOptions options, TargetProtocol protocol, MetricRegistry registry) {
        TargetConnector connector = new TargetConnector(worker, options, protocol, TargetMetrics.in(registry));
        Gauge<Integer> open = () -> connector.pool().openConnections();
        Gauge<Integer> idle = () -> connector.pool().idleConnections();
        registry.register("targets.connections.open", open);
        registry.register("targets.connections.idle", idle);
        Gauge<Long> held = () -> connector.heldResponses().heldBytes();
        registry.register("targets.answers.held_bytes", held);
        return new UndertowTargetClient(connector, worker);
    }

    @Override
    public Attempt start(TargetSettings target, PoolSettings pool, TargetCall call, AttemptListener listener) {
        long silenceMs = call.silenceMs() > 0 ? call.silenceMs() : pool.progressTimeoutMs();
        AttemptSpec spec = AttemptSpec.of(Purpose.CALL, target, call, requestId(call), silenceMs, connector.protocol());
        return HttpAttempt.start(connector, spec, listener);
    }

    TargetConnector connector() {
        return connector;
    }

    /** Closes idle connections; running attempts continue to their end. */
    @Override
    public void close() {
        sweepTimer.remove();
        connector.pool().closeIdle();
    }

    /** Returns the id in the call's headers, which a caller of a plain service may have set, or a new one. */
    private String requestId(TargetCall call) {
        for (Map.Entry<String, String> header : call.headers().entrySet()) {
            if (header.getKey().equalsIgnoreCase(connector.protocol().idHeader())) {
                return header.getValue();
            }
        }
        return connector.nextId();
    }
}
