package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Refuses a request whose body was not read to its end, and closes its connection.
 *
 * <p>A socket that is closed with input unread sends a reset, and a caller that is still sending its body would lose the
 * refusal before it reads it: all it sees is a broken connection, and it does not know why. So the rest of the body is
 * read and thrown away for a short time, {@value #MAX_DRAINED_BYTES} bytes at most, while the caller reads the refusal.
 */
final class LingeringClose implements IoCallback {
    static final long MAX_DRAINED_BYTES = 16L << 20;
    private static final int LINGER_MS = 2_000;

    private final HttpServerExchange exchange;
    private final StreamSourceChannel input;
    private XnioExecutor.@Nullable Key timer;
    private long drainedBytes;
    private boolean over;

    private LingeringClose(HttpServerExchange exchange, StreamSourceChannel input) {
        this.exchange = exchange;
        this.input = input;
    }

    /**
     * Sends the refusal; to be called on the IO thread, of a dispatched exchange.
     *
     * @param opened the request's channel where it was taken already
     * @return the length of the problem body
     */
    static long send(
            HttpServerExchange exchange, @Nullable StreamSourceChannel opened, Failure failure, long requestId) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        StreamSourceChannel input = opened == null ? open(exchange) : opened;
        if (input == null) {
            return Replies.sendProblem(exchange, failure, requestId);
        }
        return Replies.sendProblem(exchange, failure, requestId, new LingeringClose(exchange, input));
    }

    /** Null where no body comes: there is none, or its caller waits for leave to send it. */
    private static @Nullable StreamSourceChannel open(HttpServerExchange exchange) {
        boolean noneComes = exchange.isRequestComplete() || HttpContinue.requiresContinueResponse(exchange);
        return noneComes ? null : exchange.getRequestChannel();
    }

    @Override
    public void onComplete(HttpServerExchange ended, Sender sender) {
        timer = exchange.getIoThread().executeAfter(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
        input.getReadSetter().set(this::drain);
        drain(input);
    }

    @Override
    public void onException(HttpServerExchange ended, Sender sender, IOException e) {
        close();
    }

    private void drain(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            while (!over) {
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
        if (over) {
            return;
        }
        over = true;
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
