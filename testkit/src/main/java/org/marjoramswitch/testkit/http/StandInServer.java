package org.marjoramswitch.testkit.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Loopback HTTP listener with fault injection: it can refuse connections, close all open ones, or make them silent
 * while new ones work. The port is kept while connections are refused.
 */
public final class StandInServer implements AutoCloseable {
    private static final AttachmentKey<TrackedConnection> TRACKED = AttachmentKey.create(TrackedConnection.class);
    private static final String LOOPBACK = "127.0.0.1";

    private final XnioWorker worker;
    private final HttpHandler handler;
    private final Set<TrackedConnection> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();
    private final int port;
    private @Nullable Undertow listener;

    private StandInServer(XnioWorker worker, HttpHandler handler) {
        this.worker = worker;
        this.handler = handler;
        Undertow first = listen(0);
        this.listener = first;
        this.port = ((InetSocketAddress) first.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** Listens on a free port of 127.0.0.1 with one I/O thread; the handler must not block. */
    public static StandInServer start(String name, HttpHandler handler) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, name)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        try {
            return new StandInServer(Xnio.getInstance().createWorker(options), handler);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public int port() {
        return port;
    }

    /** Returns the number of connections that have carried at least one request since the start. */
    public int connectionsAccepted() {
        return accepted.get();
    }

    public int connectionsOpen() {
        return open.size();
    }

    /** Stops listening, so that connection attempts are refused, and closes the open connections. */
    public synchronized void refuseConnections() {
        Undertow running = listener;
        if (running != null) {
            running.stop();
            listener = null;
        }
        closeConnections();
    }

    /** Resumes listening on the same port. */
    public synchronized void acceptConnections() {
        if (listener == null) {
            listener = listen(port);
        }
    }

    public void closeConnections() {
        open.forEach(TrackedConnection::close);
    }

    /** Stops all writes on the currently open connections and ignores their close; new connections work. */
    public void silenceOpenConnections() {
        open.forEach(TrackedConnection::silence);
    }

    /** Returns the connection of a running exchange. */
    public static TrackedConnection connectionOf(HttpServerExchange exchange) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked == null) {
            throw new IllegalStateException("exchange does not belong to this server");
        }
        return tracked;
    }

    @Override
    public synchronized void close() {
        refuseConnections();
        worker.shutdownNow();
    }

    private Undertow listen(int atPort) {
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .addHttpListener(atPort, LOOPBACK)
                .setHandler(this::track)
                .build();
        server.start();
        return server;
    }

    private void track(HttpServerExchange exchange) throws Exception {
        ServerConnection connection = exchange.getConnection();
        if (connection.getAttachment(TRACKED) == null) {
            TrackedConnection tracked = new TrackedConnection(connection);
            connection.putAttachment(TRACKED, tracked);
            accepted.incrementAndGet();
            open.add(tracked);
            connection.addCloseListener(closed -> forget(tracked));
        }
        if (connectionOf(exchange).isSilent()) {
            exchange.dispatch(Runnable::run, () -> {});
            return;
        }
        handler.handleRequest(exchange);
    }

    private void forget(TrackedConnection tracked) {
        open.remove(tracked);
        tracked.closed();
    }

    /** An open connection of a caller. */
    public static final class TrackedConnection {
        private final ServerConnection connection;
        private volatile boolean silent;
        private volatile @Nullable Runnable onClose;

        private TrackedConnection(ServerConnection connection) {
            this.connection = connection;
        }

        public boolean isSilent() {
            return silent;
        }

        /** Closes the connection immediately, aborting any exchange. May be called on any thread. */
        public void close() {
            connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
        }

        /**
         * Sets the action to run if the connection closes during the exchange, whose request must have been read
         * completely.
         */
        public void onClose(HttpServerExchange exchange, Runnable action) {
            onClose = action;
            DisconnectDetector.begin(exchange);
        }

        /** Removes the action set by {@link #onClose}. */
        public void ignoreClose() {
            onClose = null;
        }

        private void silence() {
            silent = true;
        }

        private void closed() {
            Runnable action = onClose;
            // On a silent connection, the close by the other end is not received either.
            if (action != null && !silent) {
                action.run();
            }
        }
    }
}
