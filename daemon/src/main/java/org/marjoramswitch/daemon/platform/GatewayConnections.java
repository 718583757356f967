package org.marjoramswitch.daemon.platform;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;

/**
 * Connections to the service's addresses, all on one IO thread, which alone may call this. A connection goes back to the
 * pool only by {@link #release}, which is called after a whole answer only; it is closed once it has rested longer than
 * the idle age, because what stands between the two ends may have forgotten it without telling either.
 */
final class GatewayConnections {
    private static final int BUFFER_BYTES = 16 << 10;

    private final GatewayRuntime runtime;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<HostPort, Deque<Link>> idle = new HashMap<>();
    private final Set<Link> open = new HashSet<>();
    private boolean closed;

    private GatewayConnections(GatewayRuntime runtime) {
        this.runtime = runtime;
    }

    static GatewayConnections on(GatewayRuntime runtime) {
        return new GatewayConnections(runtime);
    }

    /** Told how an attempt to get a connection ended; nothing was sent in either case. */
    interface Listener {
        void connected(Link link);

        void refused(String reason);
    }

    /** Gives a pooled connection, or a new one where none is fresh enough. */
    void acquire(HostPort address, long nowMs, Listener listener) {
        Deque<Link> pooled = idle.getOrDefault(address, new ArrayDeque<>());
        while (!pooled.isEmpty()) {
            Link link = pooled.pop();
            boolean tooOld = nowMs - link.idleSinceMs > runtime.options().pool().idleAgeMs();
            if (link.connection.isOpen() && !tooOld) {
                listener.connected(link);
                return;
            }
            link.close();
        }
        connect(address, listener);
    }

    /** Gives a new connection. */
    void connect(HostPort address, Listener listener) {
        Connecting connecting = new Connecting(address, listener);
        connecting.timer = runtime.after(
                runtime.options().timeouts().connectMs(), () -> connecting.refuse("no connection in time"));
        UndertowClient.getInstance()
                .connect(
                        connecting,
                        URI.create("http://" + address),
                        runtime.ioThread(),
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** Pools a connection whose last exchange ended whole. */
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
     * Closes the connections to an address that rest. One that got no answer has probably gone silent, and what made it
     * so did the same to these: a read that took them one after the other spent its whole time on them.
     */
    void closeResting(HostPort address) {
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
     * Closes the socket itself. Undertow's own close waits up to 10 s for the rest of an answer that is under way; the
     * service would hold a watch that nobody reads as waiting for so long, and count it.
     */
    private static void closeAtOnce(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /** One open connection and the exchange that it carries, if any. */
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
            exchange = GatewayExchange.send(connection, buffers, address, method, path, body, listener);
        }

        /** Closes the connection; the exchange on it, if any, hears no more. */
        void close() {
            if (exchange != null) {
                exchange.abandon();
            }
            open.remove(this);
            closeAtOnce(connection);
        }

        private void closedByPeer() {
            open.remove(this);
            if (exchange != null) {
                exchange.connectionClosed();
            }
        }
    }

    /** An attempt to connect that ends once, by the connection, its failure or the timeout. */
    private final class Connecting implements ClientCallback<ClientConnection> {
        private final HostPort address;
        private final Listener listener;
        private XnioExecutor.@Nullable Key timer;
        private boolean over;

        private Connecting(HostPort address, Listener listener) {
            this.address = address;
            this.listener = listener;
        }

        @Override
        public void completed(ClientConnection connection) {
            if (over || closed) {
                IoUtils.safeClose(connection);
                refuse("the store is closed");
                return;
            }
            end();
            Link link = new Link(address, connection);
            open.add(link);
            connection.addCloseListener(gone -> link.closedByPeer());
            listener.connected(link);
        }

        @Override
        public void failed(IOException e) {
            refuse(String.valueOf(e.getMessage()));
        }

        private void refuse(String reason) {
            if (over) {
                return;
            }
            end();
            listener.refused(reason);
        }

        private void end() {
            over = true;
            if (timer != null) {
                timer.remove();
            }
        }
    }
}
