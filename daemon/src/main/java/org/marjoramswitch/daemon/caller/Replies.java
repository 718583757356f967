package org.marjoramswitch.daemon.caller;

import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/** Sends short complete responses. */
final class Replies {
    static final String JSON = "application/json";
    private static final String BEARER_CHALLENGE = "Bearer realm=\"marjoramswitch\"";

    private Replies() {}

    static void send(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /** Sends a problem body, ends the exchange and returns the body's length. */
    static long sendProblem(HttpServerExchange exchange, Failure failure, long requestId) {
        return sendProblem(exchange, failure, requestId, IoCallback.END_EXCHANGE);
    }

    /** @param onWritten called when the body has been written */
    static long sendProblem(HttpServerExchange exchange, Failure failure, long requestId, IoCallback onWritten) {
        return sendProblem(exchange, failure, ByteBuffer.wrap(Problem.body(failure, requestId)), onWritten);
    }

    /** @param body the failure's problem body */
    static long sendProblem(HttpServerExchange exchange, Failure failure, ByteBuffer body, IoCallback onWritten) {
        long retryAfterSeconds = Problem.retryAfterSeconds(failure);
        if (retryAfterSeconds > 0 && !exchange.getResponseHeaders().contains(Headers.RETRY_AFTER)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
        }
        if (failure.type() == ErrorType.UNKNOWN_API_KEY) {
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, BEARER_CHALLENGE);
        }
        exchange.setStatusCode(failure.type().httpStatus());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Problem.CONTENT_TYPE);
        int length = body.remaining();
        exchange.setResponseContentLength(length);
        exchange.getResponseSender().send(body, onWritten);
        return length;
    }
}
