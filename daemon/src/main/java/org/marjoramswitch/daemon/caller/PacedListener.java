package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.RejectedExecutionException;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.nio.AcceptedSocket;

/**
 * A listening address of an instance that may become overloaded: {@link CallerAcceptor} accepts its connections, and
 * Undertow serves those that are not rejected. Undertow's own listeners hand each connection to an I/O thread, which
 * answers nobody while it is behind.
 */
final class PacedListener implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(PacedListener.class);

    private final XnioWorker worker;
    private final CallerConnections.Http connections;
    private final CallerAcceptor acceptor;

    private PacedListener(XnioWorker worker, HostPort address, CallerConnections.Http connections, AcceptorParts parts)
            throws IOException {
        this.worker = worker;
        this.connections = connections;
        this.acceptor = CallerAcceptor.open(address, parts.with(this::serve));
    }

    /** Makes the acceptor's dependencies from the function that serves a connection. */
    interface AcceptorParts {
        CallerAcceptor.Parts with(CallerAcceptor.Server server);
    }

    /**
     * Binds the address and starts accepting.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    static PacedListener open(
            XnioWorker worker, HostPort address, CallerConnections.Http connections, AcceptorParts parts) {
        try {
            return new PacedListener(worker, address, connections, parts);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(WaitingConnection waiting, Runnable onClosed) {
        XnioIoThread thread = worker.getIoThread();
        try {
            thread.execute(() -> {
                if (waiting.take()) {
                    open(thread, waiting, onClosed);
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("connection_after_close", "reason", String.valueOf(e.getMessage()));
            if (waiting.take()) {
                close(waiting.channel(), onClosed);
            }
        }
    }

    private void open(XnioIoThread thread, WaitingConnection waiting, Runnable onClosed) {
        StreamConnection connection;
        try {
            connection = AcceptedSocket.toConnection(thread, waiting.channel(), onClosed);
        } catch (IOException | RuntimeException e) {
            LOG.debug("connection_not_opened", "reason", String.valueOf(e));
            close(waiting.channel(), onClosed);
            return;
        }
        PrefetchedSource.install(connection, waiting.prefetched());
        connections.handleEvent(connection);
    }

    private static void close(SocketChannel channel, Runnable onClosed) {
        IoUtils.safeClose(channel);
        onClosed.run();
    }

    /** Stops accepting and closes the connections. */
    @Override
    public void close() {
        acceptor.close();
        connections.closeConnections();
    }
}
