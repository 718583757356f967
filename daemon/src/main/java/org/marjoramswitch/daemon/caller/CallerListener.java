package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts the callers' connections.
 *
 * <p>While the instance lags, a new connection is closed before anything is read from it. Its caller sends the request
 * to another instance, and any request may be sent again that was not read. A rejection of each request takes so much
 * processor time that an instance which many callers use would do nothing else.
 */
final class CallerListener implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 1_000;

    private final ByteBufferPool buffers;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> channel;

    private CallerListener(ByteBufferPool buffers, HttpOpenListener http, AcceptingChannel<StreamConnection> channel) {
        this.buffers = buffers;
        this.http = http;
        this.channel = channel;
    }

    /**
     * Binds the address and starts accepting connections.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    static CallerListener start(
            XnioWorker worker,
            HostPort address,
            int maxConnections,
            HttpHandler handler,
            BooleanSupplier lagging,
            MetricRegistry metrics) {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        HttpOpenListener http = new HttpOpenListener(buffers);
        http.setRootHandler(handler);
        Counter closedWhileLagging = metrics.counter("caller.connections_closed_while_lagging");
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
        try {
            AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    new InetSocketAddress(address.host(), address.port()),
                    ChannelListeners.openListenerAdapter(connection -> {
                        if (lagging.getAsBoolean()) {
                            closedWhileLagging.inc();
                            IoUtils.safeClose(connection);
                            return;
                        }
                        http.handleEvent(connection);
                    }),
                    options);
            channel.resumeAccepts();
            return new CallerListener(buffers, http, channel);
        } catch (IOException fault) {
            throw new UncheckedIOException("cannot listen at " + address, fault);
        }
    }

    /** Applies options to new connections. */
    void setServerOptions(OptionMap options) {
        http.setUndertowOptions(options);
    }

    /** Closes the address and all connections. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
        http.closeConnections();
        buffers.close();
    }
}
