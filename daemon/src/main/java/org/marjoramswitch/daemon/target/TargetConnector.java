package org.marjoramswitch.daemon.target;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Opens connections to targets and pools idle ones. */
final class TargetConnector {
    private static final KeyValueLog LOG = KeyValueLog.of(TargetConnector.class);
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final OptionMap CONNECT_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(UndertowOptions.ENABLE_STATISTICS, true)
            .getMap();

    /** Message of the exception for ECONNREFUSED; unreachable networks raise the same type with another message. */
    private static final String CONNECTION_REFUSED = "Connection refused";

    private static final SecureRandom ID_SEED = new SecureRandom();

    private final XnioWorker worker;
    private final TargetClientOptions options;
    private final TargetMetrics metrics;
    private final TargetProtocol protocol;
    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(true, READ_BUFFER_BYTES, 256, 4);
    private final ConnectionPool pool;
    private final HeldResponses heldResponses;
    private final String idPrefix = Long.toString(ID_SEED.nextLong() >>> 1, 36) + "-";
    private final AtomicLong lastId = new AtomicLong();
    private final Map<XnioIoThread, ReadBarrier> readBarriers = new ConcurrentHashMap<>();

    TargetConnector(XnioWorker worker, TargetClientOptions options, TargetProtocol protocol, TargetMetrics metrics) {
        this.worker = worker;
        this.protocol = protocol;
        this.options = options;
        this.metrics = metrics;
        this.pool = new ConnectionPool(options, metrics);
        this.heldResponses = HeldResponses.ofHeap(Runtime.getRuntime().maxMemory());
    }

    /** Monotonic time in milliseconds with an arbitrary origin. */
    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Creates a request id that is unique across processes and restarts. */
    String nextId() {
        return idPrefix + lastId.incrementAndGet();
    }

    TargetClientOptions options() {
        return options;
    }

    TargetMetrics metrics() {
        return metrics;
    }

    TargetProtocol protocol() {
        return protocol;
    }

    ByteBufferPool bufferPool() {
        return bufferPool;
    }

    ConnectionPool pool() {
        return pool;
    }

    HeldResponses heldResponses() {
        return heldResponses;
    }

    /** The barrier of an I/O thread of the worker. */
    ReadBarrier readBarrier(XnioIoThread thread) {
        return readBarriers.computeIfAbsent(thread, ReadBarrier::of);
    }

    XnioIoThread anyThread() {
        return worker.getIoThread();
    }

    @Nullable
    ClientConnection take(AttemptSpec spec) {
        return pool.take(spec.address(), options.idleAgeMs(spec), nowMs());
    }

    void returnConnection(TargetAddress address, ClientConnection connection) {
        pool.returnConnection(address, connection, nowMs());
    }

    /**
     * Closes the connection immediately, aborting any exchange. Must be called on its I/O thread.
     *
     * <p>{@link ClientConnection#close()} does not end a running exchange: it leaves the request's conduit installed,
     * which sends no FIN, and drains the response for 10 s, during which the target continues the request without
     * a caller. Taking the connection over as for an upgrade restores the plain conduits; closing these ends the
     * exchange.
     */
    static void abort(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /** Opens a connection; calls the listener on the thread, with null if none was opened in time. */
    void connect(TargetAddress address, XnioIoThread thread, ConnectListener listener) {
        if (!pool.reserve(address)) {
            listener.onConnect(null, false);
            return;
        }
        AtomicBoolean settled = new AtomicBoolean();
        IoFuture<StreamConnection> connecting = thread.openStreamConnection(
                new InetSocketAddress(address.host(), address.port()), null, CONNECT_OPTIONS);
        // A host that is down does not respond to a connect at all; without this limit the attempt would wait for the
        // operating system's timeout, which is minutes. A connection that opens after the timeout is closed.
        XnioExecutor.Key timeout = thread.executeAfter(
                () -> readBarrier(thread).afterReads(() -> settle(settled, null, false, listener)),
                options.connectTimeoutMs(),
                TimeUnit.MILLISECONDS);
        connecting.addNotifier(
                (future, ignored) -> thread.execute(() -> {
                    timeout.remove();
                    settle(settled, opened(address, future), isRefused(future), listener);
                }),
                null);
    }

    private static void settle(
            AtomicBoolean settled, @Nullable ClientConnection connection, boolean isRefused, ConnectListener listener) {
        if (settled.compareAndSet(false, true)) {
            listener.onConnect(connection, isRefused);
        } else if (connection != null) {
            abort(connection);
        }
    }

    /**
     * Other failures say little about the target: this instance may lack file descriptors, or the network a route.
     */
    private static boolean isRefused(IoFuture<?> future) {
        return future.getStatus() == IoFuture.Status.FAILED
                && future.getException() instanceof ConnectException
                && CONNECTION_REFUSED.equals(future.getException().getMessage());
    }

    private @Nullable ClientConnection opened(TargetAddress address, IoFuture<? extends StreamConnection> future) {
        if (future.getStatus() != IoFuture.Status.DONE) {
            pool.release(address);
            return null;
        }
        try {
            StreamConnection connected = future.get();
            EndOfInput end = EndOfInput.install(connected);
            GrammarCheck check = GrammarCheck.install(connected);
            FramingLimit limit = FramingLimit.install(
                    connected, heldResponses, () -> framingExceeded(address), () -> headEvicted(address));
            ClientConnection connection = ClientConnections.over(connected, CONNECT_OPTIONS, bufferPool);
            limit.attachTo(connection);
            end.attachTo(connection);
            check.attachTo(connection);
            UnreadInput.attachTo(connection, connected);
            metrics.connectionsOpened.inc();
            if (!connection.isOpen()) {
                pool.release(address);
                return null;
            }
            connection.addCloseListener(closed -> pool.release(address));
            return connection;
        } catch (IOException e) {
            pool.release(address);
            return null;
        }
    }

    private void framingExceeded(TargetAddress address) {
        metrics.framingExceeded.inc();
        LOG.warn("framing_exceeded", "address", address, "limitBytes", FramingLimit.MAX_BYTES);
    }

    private void headEvicted(TargetAddress address) {
        metrics.responsesEvicted.inc();
        LOG.warn(
                "response_evicted",
                "address",
                address,
                "heldBytes",
                heldResponses.heldBytes(),
                "maxBytes",
                heldResponses.maxBytes());
    }

    /** Receives the new connection, or null and whether the target's host refused it. */
    interface ConnectListener {
        void onConnect(@Nullable ClientConnection connection, boolean isRefused);
    }
}
