package org.marjoramswitch.daemon.platform;

import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.target.FramingLimit;
import org.marjoramswitch.daemon.target.HeldResponses;
import org.marjoramswitch.daemon.target.ReadBarrier;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * Connection pool for the store's addresses. Confined to one I/O thread. A connection returns to the pool only through
 * {@link #release}, which is called only after a complete response. It is closed once it has been idle longer than the
 * idle age, because a middlebox may have dropped its state without notifying either end.
 */
final class GatewayConnections {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    /** All responses together may hold this many times the maximum size of one. */
    private static final long HELD_RESPONSES = 2;

    private final GatewayRuntime runtime;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final HeldResponses responses;
    private final ReadBarrier barrier;
    private final Map<HostPort, Deque<Link>> idle = new HashMap<>();
    private final Set<Link> open = new HashSet<>();
    private boolean closed;

    private GatewayConnections(GatewayRuntime runtime) {
        this.runtime = runtime;
        this.responses = HeldResponses.of(HELD_RESPONSES * runtime.options().maxResponseBytes());
        this.barrier = ReadBarrier.of(runtime.ioThread());
    }

    static GatewayConnections on(GatewayRuntime runtime) {
        return new GatewayConnections(runtime);
    }

    /** Receives the result of an attempt to obtain a connection; nothing was sent in either case. */
    interface Listener {
        void onConnected(Link link);

        void onConnectFailed(String reason);
    }

    /**
     * Counts what a response holds until it is complete.
     *
     * @param onEvicted called on the I/O thread if the response must end, because all responses together hold too much
     */
    HeldResponses.Holder holder(Runnable onEvicted) {
        return responses.holder(() -> runtime.ioThread().execute(onEvicted));
    }

    /** Obtains a pooled connection, or a new one if none is fresh enough. */
    void acquire(HostPort address, long nowMs, Listener listener) {
        Deque<Link> pooled = idle.getOrDefault(address, new ArrayDeque<>());
        while (!pooled.isEmpty()) {
            Link link = pooled.pop();
            boolean tooOld = nowMs - link.idleSinceMs > runtime.options().pool().idleAgeMs();
            if (link.connection.isOpen() && !tooOld) {
                listener.onConnected(link);
                return;
            }
            link.close();
        }
        connect(address, listener);
    }

    /** Opens a new connection. */
    void connect(HostPort address, Listener listener) {
        Connecting connecting = new Connecting(address, listener);
        connecting.timer =
                runtime.after(runtime.options().timeouts().connectMs(), () -> connecting.fail("no connection in time"));
        IoFuture<StreamConnection> opening =
                runtime.ioThread().openStreamConnection(address.toSocketAddress(), null, CONNECT_OPTIONS);
        opening.addNotifier((future, ignored) -> runtime.ioThread().execute(() -> connecting.opened(future)), null);
    }

    /** Returns a connection to the pool after a complete exchange. */
    void release(Link link, long nowMs) {
        Deque<Link> pooled = idle.computeIfAbsent(link.address, address -> new ArrayDeque<>());
        if (closed || pooled.size() >= runtime.options().pool().connectionsPerAddress()) {
            link.close();
            return;
        }
        link.idleSinceMs = nowMs;
        pooled.push(link);
    }

    /**
     * Closes the idle connections to an address. If a call on one connection got no response, the cause probably
     * affects all connections to the address; a read that tried them one after the other would spend all its time on
     * them.
     */
    void closeIdle(HostPort address) {
        Deque<Link> pooled = idle.remove(address);
        if (pooled != null) {
            pooled.forEach(Link::close);
        }
    }

    void close() {
        closed = true;
        Set.copyOf(open).forEach(Link::close);
    }

    /**
     * Closes the socket itself. Undertow's own close waits up to 10 s for the remainder of an ongoing response, during
     * which the store would keep, and count, a watch that nobody reads.
     */
    private static void closeImmediately(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /** An open connection and its current exchange, if any. */
    final class Link {
        private final HostPort address;
        private final ClientConnection connection;
        private @Nullable GatewayExchange exchange;
        private long idleSinceMs;

        private Link(HostPort address, ClientConnection connection) {
            this.address = address;
            this.connection = connection;
        }

        HostPort address() {
            return address;
        }

        void send(String method, String path, String body, GatewayExchange.Listener listener) {
            exchange = GatewayExchange.send(connection, buffers, barrier, address, method, path, body, listener);
        }

        /** Closes the connection; its exchange, if any, receives no further callbacks. */
        void close() {
            if (exchange != null) {
                exchange.abandon();
            }
            open.remove(this);
            closeImmediately(connection);
        }

        private void onClosedByPeer() {
            open.remove(this);
            if (exchange != null) {
                exchange.onConnectionClosed();
            }
        }
    }

    /** An attempt to connect. Ends exactly once: with a connection, a failure or a timeout. */
    private final class Connecting {
        private final HostPort address;
        private final Listener listener;
        private XnioExecutor.@Nullable Key timer;
        private boolean ended;

        private Connecting(HostPort address, Listener listener) {
            this.address = address;
            this.listener = listener;
        }

        private void opened(IoFuture<? extends StreamConnection> future) {
            if (future.getStatus() != IoFuture.Status.DONE) {
                fail(String.valueOf(future.getException().getMessage()));
                return;
            }
            try {
                connected(future.get());
            } catch (IOException e) {
                fail(String.valueOf(e.getMessage()));
            }
        }

        private void connected(StreamConnection stream) {
            if (ended || closed) {
                IoUtils.safeClose(stream);
                fail("the store is closed");
                return;
            }
            end();
            GrammarCheck check = GrammarCheck.install(stream);
            FramingLimit limit = FramingLimit.install(stream, responses, () -> {}, () -> {});
            ClientConnection connection = ClientConnections.over(stream, CONNECT_OPTIONS, buffers);
            limit.attachTo(connection);
            check.attachTo(connection);
            Link link = new Link(address, connection);
            open.add(link);
            connection.addCloseListener(gone -> link.onClosedByPeer());
            listener.onConnected(link);
        }

        private void fail(String reason) {
            if (ended) {
                return;
            }
            end();
            listener.onConnectFailed(reason);
        }

        private void end() {
            ended = true;
            if (timer != null) {
                timer.remove();
            }
        }
    }
}
