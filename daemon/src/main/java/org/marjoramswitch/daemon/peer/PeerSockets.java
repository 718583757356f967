package org.marjoramswitch.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Manages the selector, the listening socket and the open connections of {@link PeerLinks}. Events go to a
 * {@link Handler}. Confined to the links thread, except for {@link #wakeup}.
 */
final class PeerSockets {
    private static final KeyValueLog LOG = KeyValueLog.of(PeerLinks.class);
    private static final int MAX_UNAUTHENTICATED_CONNECTIONS = 64;
    private static final int MAX_READS = 16;
    private static final int ACCEPT_BACKLOG = 128;

    private final Selector selector;
    private final ServerSocketChannel server;
    private final PeerMetrics metrics;
    private final Set<PeerConnection> connections = new LinkedHashSet<>();

    private PeerSockets(Selector selector, ServerSocketChannel server, PeerMetrics metrics) {
        this.selector = selector;
        this.server = server;
        this.metrics = metrics;
    }

    /** Binds the address and listens; throws if the address cannot be bound. */
    static PeerSockets open(HostPort bind, PeerMetrics metrics) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(bind.toSocketAddress(), ACCEPT_BACKLOG);
        server.configureBlocking(false);
        Selector selector = Selector.open();
        server.register(selector, SelectionKey.OP_ACCEPT);
        return new PeerSockets(selector, server, metrics);
    }

    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    InetSocketAddress boundAddress() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Makes the current or next {@link #select} return immediately. Thread-safe. */
    void wakeup() {
        selector.wakeup();
    }

    /** Waits at most this long for socket events and processes them. */
    void select(long timeoutMs, Handler handler) throws IOException {
        selector.select(key -> onReady(key, handler), timeoutMs);
    }

    List<PeerConnection> connections() {
        return List.copyOf(connections);
    }

    boolean isOpen(PeerConnection connection) {
        return connections.contains(connection);
    }

    /** Starts a non-blocking connect; the handler then receives frames or a failure. */
    PeerConnection connect(Handshake handshake, HostPort address, long nowMs) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            PeerConnection connection = register(channel, SelectionKey.OP_CONNECT, handshake, nowMs);
            if (channel.connect(address.toSocketAddress())) {
                connection.sendHandshake(handshake.hello(), nowMs);
            }
            return connection;
        } catch (IOException | RuntimeException e) {
            connections.removeIf(connection -> connection.channel() == channel);
            channel.close();
            throw e;
        }
    }

    /** Closes a connection; false if it is already closed. */
    boolean close(PeerConnection connection, DisconnectReason reason) {
        if (!connections.remove(connection)) {
            return false;
        }
        connection.close();
        metrics.disconnected(reason);
        return true;
    }

    void close() throws IOException {
        server.close();
        selector.close();
    }

    private void onReady(SelectionKey key, Handler handler) {
        long nowMs = nowMs();
        if (!(key.attachment() instanceof PeerConnection connection)) {
            acceptAll(handler, nowMs);
            return;
        }
        try {
            onReady(key, connection, handler, nowMs);
        } catch (IOException e) {
            handler.onFailure(connection, DisconnectReason.CLOSED, nowMs);
        } catch (RuntimeException e) {
            // A fault in one peer's connection must not stop the thread that serves all of them.
            LOG.error(e, "peer_link_error", "error", ErrorType.INTERNAL.number());
            handler.onFailure(connection, DisconnectReason.FRAME_INVALID, nowMs);
        }
    }

    private void onReady(SelectionKey key, PeerConnection connection, Handler handler, long nowMs) throws IOException {
        if (!key.isValid()) {
            return;
        }
        if (key.isConnectable()) {
            connection.channel().finishConnect();
            connection.sendHandshake(connection.handshake().hello(), nowMs);
            return;
        }
        if (key.isWritable()) {
            connection.write(nowMs);
            handler.onWritable(connection, nowMs);
        }
        if (key.isValid() && key.isReadable()) {
            read(connection, handler, nowMs);
        }
    }

    private void acceptAll(Handler handler, long nowMs) {
        try {
            SocketChannel channel = server.accept();
            while (channel != null) {
                accept(channel, handler, nowMs);
                channel = server.accept();
            }
        } catch (IOException e) {
            LOG.warn("peer_accept_failed", "error", ErrorType.PEER_UNREACHABLE.number(), "reason", e.toString());
        }
    }

    private void accept(SocketChannel channel, Handler handler, long nowMs) throws IOException {
        long unauthenticatedCount = connections.stream()
                .filter(connection -> connection.route() == null)
                .count();
        if (unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS) {
            // Clients without the key hold a connection only until the handshake timeout, and their number is bounded.
            metrics.disconnected(DisconnectReason.TOO_MANY);
            channel.close();
            return;
        }
        register(channel, SelectionKey.OP_READ, handler.acceptorHandshake(nowMs), nowMs);
    }

    private PeerConnection register(SocketChannel channel, int interest, Handshake handshake, long nowMs)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SelectionKey key = channel.register(selector, interest);
        PeerConnection connection = PeerConnection.of(channel, key, handshake, metrics, nowMs);
        key.attach(connection);
        connections.add(connection);
        return connection;
    }

    private void read(PeerConnection connection, Handler handler, long nowMs) throws IOException {
        int bytes = connection.read(nowMs);
        // Bounds the reads, so that a peer that sends continuously does not starve the others.
        for (int reads = 1; bytes > 0 && reads <= MAX_READS; reads++) {
            if (!connection.readFrames((array, offset, length) ->
                    !isOpen(connection) || handler.onFrame(connection, array, offset, length, nowMs))) {
                handler.onFailure(connection, DisconnectReason.FRAME_INVALID, nowMs);
                return;
            }
            bytes = isOpen(connection) && reads < MAX_READS ? connection.read(nowMs) : 0;
        }
        if (bytes < 0) {
            handler.onFailure(connection, DisconnectReason.CLOSED, nowMs);
        }
    }

    /** Receives the events of the sockets. */
    interface Handler {
        /** Returns the handshake for a newly accepted connection. */
        Handshake acceptorHandshake(long nowMs);

        /** Processes a complete frame; returns false if it is invalid. */
        boolean onFrame(PeerConnection connection, byte[] bytes, int offset, int lengthBytes, long nowMs)
                throws IOException;

        /** The socket accepts bytes again. */
        void onWritable(PeerConnection connection, long nowMs);

        /** The connection has failed; the handler must close it. */
        void onFailure(PeerConnection connection, DisconnectReason reason, long nowMs);
    }
}
