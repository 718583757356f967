package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Rejects a request whose body was not completely read, and closes its connection after a delay.
 *
 * <p>A socket that is closed with unread input sends a reset, which discards the rejection before a caller that is
 * still sending its body reads it: the caller would only see a broken connection. Therefore the remainder of the body
 * is read and discarded for a short time, up to {@value #MAX_DRAINED_BYTES} bytes, while the caller reads the
 * rejection.
 */
final class LingeringClose implements IoCallback {
    static final long MAX_DRAINED_BYTES = 16L << 20;
    private static final int LINGER_MS = 2_000;

    private final HttpServerExchange exchange;
    private final StreamSourceChannel input;
    private XnioExecutor.@Nullable Key timer;
    private long drainedBytes;
    private boolean closed;

    private LingeringClose(HttpServerExchange exchange, StreamSourceChannel input) {
        this.exchange = exchange;
        this.input = input;
    }

    /**
     * Sends the rejection. Must be called on the I/O thread of a dispatched exchange.
     *
     * @param opened the request's channel if it was already obtained, otherwise null
     * @return the length of the problem body
     */
    static long send(
            HttpServerExchange exchange, @Nullable StreamSourceChannel opened, Failure failure, long requestId) {
        return send(exchange, opened, failure, ByteBuffer.wrap(Problem.body(failure, requestId)));
    }

    /** @param body the failure's problem body */
    static long send(
            HttpServerExchange exchange, @Nullable StreamSourceChannel opened, Failure failure, ByteBuffer body) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        StreamSourceChannel input = opened == null ? open(exchange) : opened;
        if (input == null) {
            return Replies.sendProblem(exchange, failure, body, IoCallback.END_EXCHANGE);
        }
        return Replies.sendProblem(exchange, failure, body, new LingeringClose(exchange, input));
    }

    /** Returns null if no body follows: there is none, or the caller waits for 100 Continue. */
    private static @Nullable StreamSourceChannel open(HttpServerExchange exchange) {
        boolean noBodyFollows = exchange.isRequestComplete() || HttpContinue.requiresContinueResponse(exchange);
        return noBodyFollows ? null : exchange.getRequestChannel();
    }

    @Override
    public void onComplete(HttpServerExchange ended, Sender sender) {
        input.getReadSetter().set(this::drain);
        drain(input);
        if (!closed) {
            timer = exchange.getIoThread().executeAfter(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onException(HttpServerExchange ended, Sender sender, IOException e) {
        close();
    }

    private void drain(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            while (!closed) {
                pooled.getBuffer().clear();
                int count = channel.read(pooled.getBuffer());
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                drainedBytes += Math.max(0, count);
                if (count < 0 || drainedBytes > MAX_DRAINED_BYTES) {
                    close();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
