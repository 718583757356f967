package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.kernel.error.Failure;
import org.xnio.channels.StreamSourceChannel;

/**
 * Rejects requests at a small part of the processor time of an ordinary rejection, so that the rejections of an
 * overloaded instance leave its processor to the requests that it serves.
 *
 * <p>The response is built once for each failure and delay. The log contains one
 * event for many rejections ({@link RejectionLog}). A connection whose request was received completely stays open: an
 * accepted connection costs more than the rejection. In all other cases the connection is closed after the remainder of the
 * body was discarded ({@link LingeringClose}), since what follows on it could not be parsed as a request.
 *
 * <p>Thread-safe; each request is handled on its connection's I/O thread.
 */
final class CheapRejections {
    /** A longer body is discarded in later rounds of the I/O thread, which has other connections to serve. */
    private static final int MAX_INLINE_BODY_BYTES = 128 << 10;
    /** Bounds the memory (about 300 bytes each); enough for delays of up to some seconds in steps of 5 ms. */
    private static final int MAX_RESPONSES = 1_000;

    private final CallDecoder decoder;
    private final CallerMetrics metrics;
    private final RejectionLog log;
    private final Map<Failure, Response> responses = new ConcurrentHashMap<>();

    private CheapRejections(CallDecoder decoder, CallerMetrics metrics, RejectionLog log) {
        this.decoder = decoder;
        this.metrics = metrics;
        this.log = log;
    }

    static CheapRejections create(CallDecoder decoder, CallerMetrics metrics, RejectionLog log) {
        return new CheapRejections(decoder, metrics, log);
    }

    /**
     * Rejects the request. Must be called on the I/O thread by the handler of the exchange.
     *
     * @param failure must be one without an individual detail
     * @param closing whether the connection is closed after the response in any case
     */
    void reject(CallerExchange caller, Failure failure, boolean closing) {
        HttpServerExchange exchange = caller.http();
        Response response = response(failure);
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfter());
        }
        metrics.rejectedCheaply(failure);
        boolean arrived = hasArrived(caller);
        if (!arrived) {
            metrics.rejectedUnread();
        }
        ByteBuffer body = response.body().duplicate();
        if (arrived && !closing) {
            Replies.sendProblem(exchange, failure, body, IoCallback.END_EXCHANGE);
        } else {
            // Dispatched, because an exchange that ends with its handler would be closed a second time.
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> LingeringClose.send(exchange, caller.openedRequestChannel(), failure, body));
        }
        log.add(exchange.getIoThread(), caller.customer(), failure);
    }

    /** Reads and discards the body; true if all of it has arrived and its end is certain. */
    private static boolean hasArrived(CallerExchange caller) {
        HttpServerExchange exchange = caller.http();
        if (exchange.isRequestComplete()) {
            return true;
        }
        if (HttpContinue.requiresContinueResponse(exchange)) {
            return false; // reading would request the body
        }
        StreamSourceChannel channel = caller.requestChannel();
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            int left = MAX_INLINE_BODY_BYTES;
            while (left > 0) {
                pooled.getBuffer().clear();
                int count = channel.read(pooled.getBuffer());
                if (count <= 0) {
                    return count < 0;
                }
                left -= count;
            }
            return false;
        } catch (IOException e) {
            return false;
        }
    }

    private Response response(Failure failure) {
        Response known = responses.get(failure);
        if (known != null) {
            return known;
        }
        String retryAfter = failure.retryAfterMs() > 0 ? decoder.retryAfter(failure.retryAfterMs()) : null;
        Response built = new Response(retryAfter, ByteBuffer.wrap(Problem.body(failure, 0)));
        if (responses.size() < MAX_RESPONSES) {
            responses.put(failure, built);
        }
        return built;
    }

    /**
     * The variable parts of a rejection.
     *
     * @param retryAfter null if the failure states no delay
     */
    private record Response(@Nullable String retryAfter, ByteBuffer body) {}
}
