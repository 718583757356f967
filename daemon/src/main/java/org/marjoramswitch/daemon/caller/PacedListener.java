package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listening address whose connections are accepted only while the instance may accept them. Undertow's own listeners
 * cannot pause without closing the open connections.
 *
 * <p>Connections that are not accepted wait in the listen queue of the operating system, where they cost nothing. The
 * queue is short, so that those in it are accepted before their callers abandon them; further ones are not established.
 */
final class PacedListener implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(PacedListener.class);
    /**
     * At 200 accepts per second, the last one waits for a third of a second; callers abandon a request after a second or a
     * third of their remaining time.
     */
    private static final int BACKLOG = 64;

    private static final long CHECK_MS = 5;

    private final BooleanSupplier mayAccept;
    private final AtomicBoolean paused = new AtomicBoolean();
    private final CallerConnections.Http connections;
    private final AcceptingChannel<StreamConnection> channel;

    private PacedListener(
            XnioWorker worker, HostPort address, CallerConnections.Http connections, int max, BooleanSupplier mayAccept)
            throws IOException {
        this.mayAccept = mayAccept;
        this.connections = connections;
        ChannelListener<AcceptingChannel<StreamConnection>> opened = ChannelListeners.openListenerAdapter(connections);
        this.channel = worker.createStreamConnectionServer(
                new InetSocketAddress(address.host(), address.port()),
                acceptable -> {
                    pauseIfNeeded(worker);
                    // Connections that the worker has accepted already must be handled, or it offers them again at
                    // once.
                    opened.handleEvent(acceptable);
                },
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .set(Options.CONNECTION_HIGH_WATER, max)
                        .set(Options.CONNECTION_LOW_WATER, max)
                        .getMap());
    }

    /**
     * Binds the address and starts accepting.
     *
     * @param maxConnections maximum number of open connections
     * @param mayAccept whether a connection may be accepted now
     * @throws UncheckedIOException if the address cannot be bound
     */
    static PacedListener open(
            XnioWorker worker,
            HostPort address,
            CallerConnections.Http connections,
            int maxConnections,
            BooleanSupplier mayAccept) {
        try {
            PacedListener listener = new PacedListener(worker, address, connections, maxConnections, mayAccept);
            listener.channel.resumeAccepts();
            return listener;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void pauseIfNeeded(XnioWorker worker) {
        if (!mayAccept.getAsBoolean() && paused.compareAndSet(false, true)) {
            channel.suspendAccepts();
            checkLater(worker);
        }
    }

    private void checkLater(XnioWorker worker) {
        try {
            worker.getIoThread().executeAfter(() -> check(worker), CHECK_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("accept_pause_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private void check(XnioWorker worker) {
        if (!channel.isOpen()) {
            return;
        }
        if (mayAccept.getAsBoolean()) {
            paused.set(false);
            channel.resumeAccepts();
        } else {
            checkLater(worker);
        }
    }

    /** Stops accepting and closes the connections. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
        connections.closeConnections();
    }
}
