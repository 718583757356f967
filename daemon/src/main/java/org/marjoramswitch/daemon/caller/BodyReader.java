package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads one request's body on the connection's I/O thread without blocking.
 *
 * <p>A body that is too large, or for which there is no memory, is rejected by its declared length before it is read, or
 * else at the first byte beyond the limit; one that does not arrive in time is rejected at the timeout, and one whose
 * connection ends early immediately. The listener is notified exactly once.
 *
 * <p>The channel of an idle connection still refers to the reader of its last request, so the reader drops the bytes at the
 * end.
 */
final class BodyReader {
    private final CallerExchange caller;
    private final HttpServerExchange exchange;
    private final long maxBytes;
    private final RequestMemory memory;
    private final Listener listener;
    private final ContinueResponse continueResponse;
    private final BodyBytes bytes;
    private boolean ended;

    private BodyReader(CallerExchange caller, long maxBytes, RequestMemory memory, Listener listener) {
        this.caller = caller;
        this.exchange = caller.http();
        this.maxBytes = maxBytes;
        this.memory = memory;
        this.listener = listener;
        this.continueResponse = ContinueResponse.of(exchange, new ContinueListener());
        this.bytes = new BodyBytes(memory, caller.http().getRequestContentLength());
    }

    /** Receives the body or the rejection. Called on the I/O thread. */
    interface Listener {
        /** The request's memory stays reserved until the listener releases it. */
        void onBody(byte[] body);

        /** The request's memory is released. */
        void onRefused(Failure failure);
    }

    /** @param memory reserved for the request by the reader */
    static void read(CallerExchange caller, long maxBytes, int timeoutMs, RequestMemory memory, Listener listener) {
        BodyReader reader = new BodyReader(caller, maxBytes, memory, listener);
        long declaredBytes = caller.http().getRequestContentLength();
        if (declaredBytes > maxBytes) {
            reader.refuse(Failure.notRun(ErrorType.BODY_TOO_LARGE, 0, Long.toString(maxBytes)));
            return;
        }
        if (!memory.tryBegin(Math.max(0, declaredBytes))) {
            reader.refuse(memory.rejection(Math.max(0, declaredBytes)));
            return;
        }
        XnioExecutor.Key timer =
                reader.exchange.getIoThread().executeAfter(reader::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        reader.start(timer);
    }

    private XnioExecutor.Key timer = () -> false;

    private void start(XnioExecutor.Key bodyTimer) {
        timer = bodyTimer;
        StreamSourceChannel channel = caller.requestChannel();
        channel.getReadSetter().set(this::onReadable);
        onReadable(channel);
    }

    private void onReadable(StreamSourceChannel channel) {
        if (ended || continueResponse.isIncomplete()) {
            return;
        }
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            readAll(channel, pooled.getBuffer());
        } catch (IOException e) {
            failed(e);
        }
    }

    private void failed(IOException failure) {
        refuse(Failure.notRun(
                ErrorType.MALFORMED_REQUEST, 0, "the connection ended before the body did: " + failure.getMessage()));
    }

    private void readAll(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
        while (!ended) {
            buffer.clear();
            int count = channel.read(buffer);
            if (count < 0) {
                complete();
                return;
            }
            if (count == 0) {
                awaitMore(channel);
                return;
            }
            buffer.flip();
            append(buffer);
        }
    }

    private void awaitMore(StreamSourceChannel channel) throws IOException {
        if (continueResponse.bodyAwaited()) {
            channel.resumeReads();
        }
    }

    private void append(ByteBuffer buffer) {
        if (bytes.sizeBytes() + buffer.remaining() > maxBytes) {
            refuse(Failure.notRun(ErrorType.BODY_TOO_LARGE, 0, Long.toString(maxBytes)));
            return;
        }
        if (!bytes.add(buffer)) {
            refuse(memory.rejection(bytes.sizeBytes()));
        }
    }

    /** The timer comes before the socket is read on a thread that is behind, so the body may have arrived in full. */
    private void onTimeout() {
        onReadable(caller.requestChannel());
        refuse(Failure.notRun(ErrorType.BODY_TIMEOUT, 0, ""));
    }

    private void complete() {
        if (ended) {
            return;
        }
        caller.onBodyComplete();
        byte[] body = bytes.take();
        if (body == null) {
            refuse(memory.rejection(bytes.sizeBytes()));
            return;
        }
        end();
        listener.onBody(body);
    }

    private void refuse(Failure failure) {
        if (!end()) {
            return;
        }
        bytes.clear();
        memory.releaseAll();
        listener.onRefused(failure);
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timer.remove();
        continueResponse.stop();
        if (continueResponse.isIncomplete()) {
            // A final response would be written into the interim one.
            IoUtils.safeClose(exchange.getConnection());
        }
        return true;
    }

    /** Continues to read the body once the interim response has been written. */
    private final class ContinueListener implements ContinueResponse.Listener {
        @Override
        public void onReady() {
            onReadable(caller.requestChannel());
        }

        @Override
        public void onFailed(IOException failure) {
            failed(failure);
        }
    }
}
