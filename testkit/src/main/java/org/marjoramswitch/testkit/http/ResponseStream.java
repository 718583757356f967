package org.marjoramswitch.testkit.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.testkit.http.StandInServer.TrackedConnection;
import org.xnio.channels.StreamSinkChannel;

/**
 * Response body that any thread may append to; the exchange's I/O thread writes it. Unread bytes are buffered without a
 * bound, since the responses of a stand-in are short.
 */
public final class ResponseStream {
    private final HttpServerExchange exchange;
    private final TrackedConnection connection;
    private final ConcurrentLinkedQueue<byte[]> pending = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean writeScheduled = new AtomicBoolean();
    private volatile boolean ended;
    private volatile boolean closeAfterWrite;
    private @Nullable StreamSinkChannel channel;
    private ByteBuffer buffer = ByteBuffer.allocate(0);
    private boolean finished;

    private ResponseStream(HttpServerExchange exchange) {
        this.exchange = exchange;
        this.connection = StandInServer.connectionOf(exchange);
    }

    /** Creates the stream of an exchange that has been dispatched and whose status and headers are set. */
    public static ResponseStream of(HttpServerExchange exchange) {
        return new ResponseStream(exchange);
    }

    public TrackedConnection connection() {
        return connection;
    }

    /**
     * Sets the content length. Must be called before the first byte is appended. Without it, the response is chunked,
     * or gets a content length if it ends before anything is written.
     */
    public void setContentLength(long bodyBytes) {
        exchange.setResponseContentLength(bodyBytes);
    }

    public void append(byte[] bytes) {
        pending.add(bytes);
        scheduleWrite();
    }

    /** Completes the response. */
    public void end() {
        ended = true;
        scheduleWrite();
    }

    /** Closes the connection once the appended bytes have been written. */
    public void closeConnection() {
        closeAfterWrite = true;
        scheduleWrite();
    }

    private void scheduleWrite() {
        if (writeScheduled.compareAndSet(false, true)) {
            exchange.getIoThread().execute(this::write);
        }
    }

    private void write() {
        writeScheduled.set(false);
        if (finished || connection.isSilent()) {
            return;
        }
        try {
            writePending();
        } catch (IOException e) {
            finished = true;
            connection.close();
        }
    }

    private void writePending() throws IOException {
        boolean last = ended;
        boolean close = closeAfterWrite;
        if (last && channel == null && exchange.getResponseContentLength() < 0) {
            exchange.setResponseContentLength(pendingBytes());
        }
        StreamSinkChannel out = openChannel();
        drainPending();
        while (buffer.hasRemaining()) {
            if (out.write(buffer) == 0) {
                out.resumeWrites();
                return;
            }
        }
        if (last) {
            finished = true;
            connection.ignoreClose();
            exchange.endExchange();
            return;
        }
        if (out.flush()) {
            out.suspendWrites();
        } else {
            out.resumeWrites();
            return;
        }
        if (close) {
            finished = true;
            connection.close();
        }
    }

    private StreamSinkChannel openChannel() {
        StreamSinkChannel opened = channel;
        if (opened == null) {
            opened = exchange.getResponseChannel();
            opened.getWriteSetter().set(writable -> write());
            channel = opened;
        }
        return opened;
    }

    private int pendingBytes() {
        return pending.stream().mapToInt(bytes -> bytes.length).sum();
    }

    private void drainPending() {
        int bytes = buffer.remaining() + pendingBytes();
        ByteBuffer all = ByteBuffer.allocate(bytes);
        all.put(buffer);
        while (!pending.isEmpty() && all.remaining() >= pending.peek().length) {
            all.put(pending.poll());
        }
        buffer = all.flip();
    }
}
