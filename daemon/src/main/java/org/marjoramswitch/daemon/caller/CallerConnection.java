package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Arrays;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.caller.ConnectionEnds.Cause;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The state of one connection of a caller, which decides which of its timeouts applies. Observes the bytes that are read
 * below Undertow. Confined to the connection's I/O thread.
 */
final class CallerConnection implements ExchangeCompletionListener, ObservedSink.Listener {
    private static final KeyValueLog LOG = KeyValueLog.of(CallerConnection.class);

    /** Two spaces, the line's end and the empty line after the head. */
    private static final int REQUEST_LINE_SEPARATORS = 6;
    /**
     * Bound of the trailers of a request, and of bytes that are not in the chunked encoding. Some thousand connections may hold
     * so much at a time, before it is known who sends.
     */
    private static final int MAX_TRAILER_BYTES = 1 << 10;

    private static final int MAX_TRAILERS = 16;

    /** A colon, a space and the line's end. */
    private static final int HEADER_SEPARATORS = 4;

    private final StreamConnection channel;
    private final ConnectionTimeouts timeouts;
    private Phase phase = Phase.OPENING;
    private long sinceMs;
    private long requestBytes;
    private int headItems;
    private @Nullable CallerLimits limits;
    private @Nullable HttpServerExchange exchange;
    /** Follows the body that is being received; null if it is not chunked. */
    private @Nullable ChunkedFraming framing;

    private @Nullable Cause cause;
    private String callerRequestId = "";
    private long deliveredBytes;
    private long lastReadMs;
    private long openedMs;
    private int requests;

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
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        sink.setConduit(new ObservedSink(sink.getConduit(), connection));
        connection.openedMs = timeouts.nowMs();
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
    void requestBegins(HttpServerExchange begun) {
        exchange = begun;
        callerRequestId = "";
        requests++;
        limits = timeouts.limits(sinceMs);
        enter(Phase.BUSY);
        framing = null;
        if (!begun.isRequestComplete() && begun.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            followChunks((HttpServerConnection) begun.getConnection());
        }
    }

    /** Begins with the bytes that were received together with the head. */
    private void followChunks(HttpServerConnection connection) {
        ChunkedFraming begun = ChunkedFraming.begin();
        framing = begun;
        PooledByteBuffer received = connection.getExtraBytes();
        if (received != null) {
            begun.receive(received.getBuffer().duplicate());
        }
    }

    /**
     * Follows the bytes that were read for a body whose end was not found before, and bounds what is no part of the body:
     * Undertow collects trailers of any size, also of a request that has been rejected. Nothing uses them.
     *
     * @throws IOException if the limit is exceeded, which closes the connection
     */
    private void bodyReceived(ByteBuffer bytes) throws IOException {
        ChunkedFraming followed = framing;
        HttpServerExchange reading = exchange;
        if (followed == null || reading == null || reading.isRequestComplete()) {
            return;
        }
        followed.receive(bytes);
        int maxBytes = timeouts.maxHeadBytes(sinceMs);
        if (followed.extensionBytes() <= maxBytes
                && followed.trailerBytes() <= MAX_TRAILER_BYTES
                && followed.trailers() <= MAX_TRAILERS) {
            return;
        }
        note(Cause.BODY_FRAMING_TOO_LARGE);
        LOG.info(
                "body_framing_exceeded",
                "peer",
                String.valueOf(channel.getPeerAddress()),
                "listener",
                String.valueOf(channel.getLocalAddress()),
                "extensionBytes",
                followed.extensionBytes(),
                "trailerBytes",
                followed.trailerBytes(),
                "trailers",
                followed.trailers());
        throw new IOException("the framing of the body is too large");
    }

    /** Time since the connection was taken by its I/O thread. */
    long openMs() {
        return timeouts.nowMs() - openedMs;
    }

    /** Number of requests that were received on the connection. */
    int requests() {
        return requests;
    }

    /** Bytes received since the request's first one. */
    long requestBytes() {
        return requestBytes;
    }

    /** Headers and parameters of a head that was received in part, at most. */
    int headItems() {
        return headItems;
    }

    /** The limits that hold for the request that is being served, or null if they are not known. */
    @Nullable
    CallerLimits limits() {
        return limits;
    }

    /** Sets the id that the caller gave to the request, for the log. */
    void setCallerRequestId(String id) {
        callerRequestId = id;
    }

    /** Whether the request's head, which was received completely, is larger than this. */
    boolean isHeadLarger(HttpServerExchange received, int maxBytes) {
        // The bytes received include those after the head; the head's own size is determined only if it may be too
        // large.
        return requestBytes > maxBytes && headSize(received) > maxBytes;
    }

    private static long headSize(HttpServerExchange received) {
        long bytes = (long) received.getRequestMethod().length()
                + received.getRequestURI().length()
                + received.getQueryString().length()
                + received.getProtocol().length()
                + REQUEST_LINE_SEPARATORS;
        for (HeaderValues values : received.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length() + HEADER_SEPARATORS;
            }
        }
        return bytes;
    }

    @Override
    public void exchangeEvent(HttpServerExchange ended, NextListener next) {
        if (ended.isInIoThread()) {
            exchangeEnded(ended);
        } else {
            onIoThread(() -> exchangeEnded(ended));
        }
        next.proceed();
    }

    private void exchangeEnded(HttpServerExchange ended) {
        if (exchange != ended || !ended.isPersistent() || !channel.isOpen()) {
            return; // the next request has begun, or Undertow closes the connection
        }
        exchange = null;
        deliveredBytes = 0;
        PooledByteBuffer received = ((HttpServerConnection) ended.getConnection()).getExtraBytes();
        requestBytes = received == null ? 0 : received.getBuffer().remaining();
        headItems = received == null ? 0 : IncompleteHeads.items(received.getBuffer());
        enter(requestBytes == 0 ? Phase.IDLE : Phase.HEAD);
    }

    /**
     * Closes the connection unless bytes are waiting that end its phase. On a thread that is behind, or after a pause of
     * the process, a timer comes before the bytes that have arrived, so the socket is read first.
     */
    void closeUnlessReceived() {
        if (phase != Phase.IDLE && phase != Phase.HEAD) {
            return;
        }
        Phase overdue = phase;
        long overdueSinceMs = sinceMs;
        ConduitStreamSourceChannel source = channel.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        if (phase == overdue && sinceMs == overdueSinceMs) {
            note(phase == Phase.IDLE ? Cause.IDLE_LIMIT : Cause.HEAD_TIMEOUT);
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
        channel.setCloseListener(closed -> onIoThread(this::closed));
    }

    private void closed() {
        if (phase == Phase.CLOSED) {
            return;
        }
        HttpServerExchange last = exchange;
        boolean outstanding =
                phase == Phase.HEAD || (phase == Phase.BUSY && last != null && !last.isResponseComplete());
        if (outstanding) {
            timeouts.ends().endedUnanswered(cause(true), unanswered(last));
        } else {
            timeouts.ends().endedIdle(cause(false));
        }
        enter(Phase.CLOSED);
    }

    private ConnectionEnds.Unanswered unanswered(@Nullable HttpServerExchange last) {
        return new ConnectionEnds.Unanswered(
                String.valueOf(channel.getPeerAddress()),
                last == null ? "" : callerRequestId,
                requestBytes,
                last != null && last.isRequestComplete(),
                deliveredBytes,
                timeouts.nowMs() - lastReadMs);
    }

    private Cause cause(boolean outstanding) {
        Cause noted = cause;
        if (phase == Phase.BUSY && !outstanding) {
            return Cause.AFTER_RESPONSE;
        }
        if (noted != null) {
            return noted;
        }
        if (timeouts.ends().isShutDown()) {
            return Cause.SHUTDOWN;
        }
        if (deliveredBytes == 0) {
            return Cause.REQUEST_DROPPED;
        }
        return phase == Phase.BUSY ? Cause.RESPONSE_CUT : Cause.MALFORMED_HEAD;
    }

    /** Notes the first cause that is known for the end of the connection. */
    private void note(Cause known) {
        cause = cause == null ? known : cause;
    }

    @Override
    public void onWritten(long bytes) {
        deliveredBytes += bytes;
    }

    @Override
    public void onBroken() {
        note(Cause.RESET);
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
        lastReadMs = timeouts.nowMs();
        if (count < 0) {
            note(Cause.CALLER_CLOSED);
        }
        if (count <= 0) {
            return;
        }
        if (phase == Phase.IDLE) {
            requestBytes = 0;
            headItems = 0;
            deliveredBytes = 0;
            enter(Phase.HEAD);
        }
        if (phase == Phase.HEAD && requestBytes > timeouts.headBytesAllowed(sinceMs)) {
            // Bounds the memory for a head that is not complete. A head that is slightly too large gets a response.
            note(Cause.HEAD_TOO_LARGE);
            throw new IOException("the head is too large: " + requestBytes + " bytes");
        }
        requestBytes += count;
    }

    /** A read of the socket. */
    private interface Read {
        long run() throws IOException;
    }

    private long observe(Read read) throws IOException {
        long count;
        try {
            count = read.run();
        } catch (IOException e) {
            note(Cause.RESET);
            throw e;
        }
        received(count);
        return count;
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
            int from = buffer.position();
            int count = (int) observe(() -> next.read(buffer));
            partReceived(from, buffer);
            return count;
        }

        @Override
        public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
            int[] from = Arrays.stream(buffers, offset, offset + length)
                    .mapToInt(ByteBuffer::position)
                    .toArray();
            long count = observe(() -> next.read(buffers, offset, length));
            for (int i = 0; i < length; i++) {
                partReceived(from[i], buffers[offset + i]);
            }
            return count;
        }

        private void partReceived(int from, ByteBuffer buffer) throws IOException {
            if (phase == Phase.HEAD && buffer.position() > from) {
                headItems += IncompleteHeads.items(buffer.duplicate().flip().position(from));
            }
            if (framing != null && buffer.position() > from) {
                CallerConnection.this.bodyReceived(buffer.duplicate().flip().position(from));
            }
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            return observe(() -> next.transferTo(position, count, target));
        }

        @Override
        public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target) throws IOException {
            return observe(() -> next.transferTo(count, buffer, target));
        }
    }
}
