package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
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
 * <p>Nothing is allocated for bytes that have not arrived, so a caller that announces a large body and sends none costs
 * a connection but no memory. A body that is too large is rejected by its declared length, or else at the first byte
 * beyond the limit; one that does not arrive in time is rejected at the timeout, and one whose connection ends early
 * immediately. The listener is notified exactly once.
 */
final class BodyReader {
    private static final long FULL_RETRY_AFTER_MS = 1_000;

    private final CallerExchange caller;
    private final HttpServerExchange exchange;
    private final long maxBytes;
    private final MemoryBudget budget;
    private final Listener listener;
    private final ContinueResponse continueResponse;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long reservedBytes;
    private boolean ended;

    private BodyReader(CallerExchange caller, long maxBytes, MemoryBudget budget, Listener listener) {
        this.caller = caller;
        this.exchange = caller.http();
        this.maxBytes = maxBytes;
        this.budget = budget;
        this.listener = listener;
        this.continueResponse = ContinueResponse.of(exchange, new ContinueListener());
    }

    /** Receives the body or the rejection. Called on the I/O thread. */
    interface Listener {
        /** The body's bytes stay reserved in the budget until the listener releases them. */
        void onBody(byte[] body);

        void onRefused(Failure failure);
    }

    static void read(CallerExchange caller, long maxBytes, int timeoutMs, MemoryBudget budget, Listener listener) {
        BodyReader reader = new BodyReader(caller, maxBytes, budget, listener);
        if (caller.http().getRequestContentLength() > maxBytes) {
            reader.refuse(Failure.notRun(ErrorType.BODY_TOO_LARGE, 0, Long.toString(maxBytes)));
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
        int count = buffer.remaining();
        if (bytes.size() + count > maxBytes) {
            refuse(Failure.notRun(ErrorType.BODY_TOO_LARGE, 0, Long.toString(maxBytes)));
            return;
        }
        if (!budget.tryReserve(count)) {
            refuse(Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, ""));
            return;
        }
        reservedBytes += count;
        byte[] copy = new byte[count];
        buffer.get(copy);
        bytes.writeBytes(copy);
    }

    /** The timer comes before the socket is read on a thread that is behind, so the body may have arrived in full. */
    private void onTimeout() {
        onReadable(caller.requestChannel());
        refuse(Failure.notRun(ErrorType.BODY_TIMEOUT, 0, ""));
    }

    private void complete() {
        if (end()) {
            caller.onBodyComplete();
            listener.onBody(bytes.toByteArray());
        }
    }

    private void refuse(Failure failure) {
        if (!end()) {
            return;
        }
        budget.release(reservedBytes);
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
