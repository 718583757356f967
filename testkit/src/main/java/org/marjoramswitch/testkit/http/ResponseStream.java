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
 * An answer written piece by piece from any thread; the exchange's IO thread does the writing. What the caller does not
 * read yet waits in memory: the answers of a stand-in are short.
 */
public final class ResponseStream {
    private final HttpServerExchange exchange;
    private final TrackedConnection connection;
    private final ConcurrentLinkedQueue<byte[]> pending = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean pumpScheduled = new AtomicBoolean();
    private volatile boolean ended;
    private volatile boolean cutAtEnd;
    private @Nullable StreamSinkChannel channel;
    private ByteBuffer writing = ByteBuffer.allocate(0);
    private boolean finished;

    private ResponseStream(HttpServerExchange exchange) {
        this.exchange = exchange;
        this.connection = StandInServer.connectionOf(exchange);
    }

    /** For an exchange that was dispatched and whose head is set. */
    public static ResponseStream of(HttpServerExchange exchange) {
        return new ResponseStream(exchange);
    }

    public TrackedConnection connection() {
        return connection;
    }

    /** Names the body's length before its first byte; left out, the answer goes out in chunks or whole at its end. */
    public void announceLength(long bodyBytes) {
        exchange.setResponseContentLength(bodyBytes);
    }

    public void append(byte[] bytes) {
        pending.add(bytes);
        schedulePump();
    }

    /** The answer is whole. */
    public void end() {
        ended = true;
        schedulePump();
    }

    /** Cuts the connection once what was appended has gone out. */
    public void breakOff() {
        cutAtEnd = true;
        schedulePump();
    }

    private void schedulePump() {
        if (pumpScheduled.compareAndSet(false, true)) {
            exchange.getIoThread().execute(this::pump);
        }
    }

    private void pump() {
        pumpScheduled.set(false);
        if (finished || connection.isSilent()) {
            return;
        }
        try {
            writePending();
        } catch (IOException e) {
            finished = true;
            connection.cut();
        }
    }

    private void writePending() throws IOException {
        boolean last = ended;
        boolean cut = cutAtEnd;
        if (last && channel == null && exchange.getResponseContentLength() < 0) {
            exchange.setResponseContentLength(pendingBytes());
        }
        StreamSinkChannel out = openChannel();
        takePending();
        while (writing.hasRemaining()) {
            if (out.write(writing) == 0) {
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
        if (cut) {
            finished = true;
            connection.cut();
        }
    }

    private StreamSinkChannel openChannel() {
        StreamSinkChannel opened = channel;
        if (opened == null) {
            opened = exchange.getResponseChannel();
            opened.getWriteSetter().set(writable -> pump());
            channel = opened;
        }
        return opened;
    }

    private int pendingBytes() {
        return pending.stream().mapToInt(bytes -> bytes.length).sum();
    }

    private void takePending() {
        int bytes = writing.remaining() + pendingBytes();
        ByteBuffer all = ByteBuffer.allocate(bytes);
        all.put(writing);
        while (!pending.isEmpty() && all.remaining() >= pending.peek().length) {
            all.put(pending.poll());
        }
        writing = all.flip();
    }
}
