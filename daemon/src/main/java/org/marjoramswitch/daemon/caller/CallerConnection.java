package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The state of one connection of a caller, which decides which of its timeouts applies. Observes the bytes that are read
 * below Undertow. Confined to the connection's I/O thread.
 */
final class CallerConnection implements ExchangeCompletionListener {
    private static final KeyValueLog LOG = KeyValueLog.of(CallerConnection.class);

    /** Two spaces, the line's end and the empty line after the head. */
    private static final int REQUEST_LINE_SEPARATORS = 6;
    /** A colon, a space and the line's end. */
    private static final int HEADER_SEPARATORS = 4;

    private final StreamConnection channel;
    private final ConnectionTimeouts timeouts;
    private Phase phase = Phase.OPENING;
    private long sinceMs;
    private long headBytes;
    private @Nullable CallerLimits limits;

    private CallerConnection(StreamConnection channel, ConnectionTimeouts timeouts) {
        this.channel = channel;
        this.timeouts = timeouts;
    }

    /** What the connection is used for. */
    enum Phase {
        OPENING,
        /** No byte of a request was received since the connection was accepted, or since its last exchange ended. */
        IDLE,
        /** The head of a request was received in part. */
        HEAD,
        /** A request is received further or served. */
        BUSY,
        CLOSED
    }

    /** Accepts a connection: observes its bytes and passes it to Undertow. Must be called on its I/O thread. */
    static void open(
            StreamConnection channel,
            ConnectionTimeouts timeouts,
            ChannelListener<? super StreamConnection> openListener) {
        CallerConnection connection = new CallerConnection(channel, timeouts);
        ConduitStreamSourceChannel source = channel.getSourceChannel();
        source.setConduit(connection.new ObservedSource(source.getConduit()));
        connection.enter(Phase.IDLE);
        openListener.handleEvent(channel);
        connection.listenForClose();
    }

    /** The connection of an exchange; all of the server's connections are opened by {@link #open}. */
    static CallerConnection of(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        return ((ObservedSource) connection.getOriginalSourceConduit()).connection();
    }

    Phase phase() {
        return phase;
    }

    /** Since when the connection has been in its phase. */
    long sinceMs() {
        return sinceMs;
    }

    /** The head was received and its handler runs. */
    void requestBegins() {
        limits = timeouts.limits(sinceMs);
        enter(Phase.BUSY);
    }

    /** The limits that hold for the request that is being served, or null if they are not known. */
    @Nullable
    CallerLimits limits() {
        return limits;
    }

    /** Whether the request's head, which was received completely, is larger than this. */
    boolean isHeadLarger(HttpServerExchange exchange, int maxBytes) {
        // The bytes received include those after the head; the head's own size is determined only if it may be too
        // large.
        return headBytes > maxBytes && headSize(exchange) > maxBytes;
    }

    private static long headSize(HttpServerExchange exchange) {
        long bytes = (long) exchange.getRequestMethod().length()
                + exchange.getRequestURI().length()
                + exchange.getQueryString().length()
                + exchange.getProtocol().length()
                + REQUEST_LINE_SEPARATORS;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length() + HEADER_SEPARATORS;
            }
        }
        return bytes;
    }

    @Override
    public void exchangeEvent(HttpServerExchange exchange, NextListener next) {
        if (exchange.isInIoThread()) {
            exchangeEnded(exchange);
        } else {
            onIoThread(() -> exchangeEnded(exchange));
        }
        next.proceed();
    }

    private void exchangeEnded(HttpServerExchange exchange) {
        if (!exchange.isPersistent() || !channel.isOpen()) {
            return; // Undertow closes the connection
        }
        PooledByteBuffer received = ((HttpServerConnection) exchange.getConnection()).getExtraBytes();
        headBytes = received == null ? 0 : received.getBuffer().remaining();
        enter(headBytes == 0 ? Phase.IDLE : Phase.HEAD);
    }

    /**
     * Closes the connection unless bytes are waiting that end its phase. On a thread that is behind, or after a pause of
     * the process, a timer comes before the bytes that have arrived, so the socket is read first.
     */
    void closeUnlessReceived() {
        Phase overdue = phase;
        long overdueSinceMs = sinceMs;
        ConduitStreamSourceChannel source = channel.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (phase == overdue && sinceMs == overdueSinceMs) {
            IoUtils.safeClose(channel);
            enter(Phase.CLOSED);
        }
    }

    private void enter(Phase next) {
        if (phase == Phase.CLOSED) {
            return;
        }
        timeouts.remove(this);
        phase = next;
        sinceMs = timeouts.nowMs();
        timeouts.add(this);
    }

    /** Called in addition to Undertow's listener. */
    private void listenForClose() {
        channel.setCloseListener(closed -> onIoThread(() -> enter(Phase.CLOSED)));
    }

    private void onIoThread(Runnable task) {
        if (Thread.currentThread() == channel.getIoThread()) {
            task.run();
            return;
        }
        try {
            channel.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("connection_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private void received(long count) throws IOException {
        if (count <= 0 || phase == Phase.BUSY) {
            return;
        }
        if (phase == Phase.IDLE) {
            headBytes = 0;
            enter(Phase.HEAD);
        }
        if (headBytes > timeouts.maxHeadBytes(sinceMs)) {
            // Bounds the memory for a head that is not complete. A head that is slightly too large gets a response.
            throw new IOException("the head is larger than " + timeouts.maxHeadBytes(sinceMs) + " bytes");
        }
        headBytes += count;
    }

    /** Observes what is read from the socket. */
    private final class ObservedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
        ObservedSource(StreamSourceConduit next) {
            super(next);
        }

        CallerConnection connection() {
            return CallerConnection.this;
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            int count = next.read(buffer);
            received(count);
            return count;
        }

        @Override
        public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
            long count = next.read(buffers, offset, length);
            received(count);
            return count;
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            long moved = next.transferTo(position, count, target);
            received(moved);
            return moved;
        }

        @Override
        public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target) throws IOException {
            long moved = next.transferTo(count, buffer, target);
            received(moved);
            return moved;
        }
    }
}
