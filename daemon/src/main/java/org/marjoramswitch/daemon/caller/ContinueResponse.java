package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.server.protocol.http.PipeliningBufferingStreamSinkConduit;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;

/**
 * Sends the interim response 100 (Continue) to a caller that waits for it before it sends its body (RFC 9110, section
 * 10.1.1).
 *
 * <p>It is sent at most once, and only when the body is about to be read and no byte of it has arrived. Nothing else may
 * be written to the connection until it has been written completely. Confined to the connection's I/O thread.
 */
final class ContinueResponse {
    /** Only a caller that has left earlier responses unread fills the socket's send buffer. */
    private static final int RETRY_MS = 20;

    private final HttpServerExchange exchange;
    private final Listener listener;
    private final CallerConnection connection;
    private final long receivedBytes;
    private boolean wanted;
    private HttpContinue.@Nullable ContinueResponseSender sender;
    private XnioExecutor.@Nullable Key timer;

    private ContinueResponse(HttpServerExchange exchange, Listener listener) {
        this.exchange = exchange;
        this.listener = listener;
        this.connection = CallerConnection.of(exchange);
        this.receivedBytes = connection.requestBytes();
        boolean bodyBegun = ((HttpServerConnection) exchange.getConnection()).getExtraBytes() != null;
        this.wanted = !bodyBegun && HttpContinue.requiresContinueResponse(exchange);
    }

    /** Notified when the body may be read further after all. */
    interface Listener {
        void onReady();

        void onFailed(IOException failure);
    }

    /** Must be called before the first read of the body. */
    static ContinueResponse of(HttpServerExchange exchange, Listener listener) {
        return new ContinueResponse(exchange, listener);
    }

    /**
     * A read of the body has brought nothing: sends the interim response if the caller waits for it.
     *
     * @return whether the body may be read further now; otherwise the listener will be called
     */
    boolean bodyAwaited() throws IOException {
        if (!wanted) {
            return !isIncomplete();
        }
        if (connection.requestBytes() > receivedBytes) {
            wanted = false; // a part of the body's first chunk has arrived
            return true;
        }
        if (!flushEarlierResponses()) {
            retryLater(listener::onReady);
            return false;
        }
        wanted = false;
        sender = HttpContinue.createResponseSender(exchange);
        return send(sender);
    }

    /** Whether the interim response has been written in part, so that no other response may follow on the connection. */
    boolean isIncomplete() {
        return sender != null;
    }

    /** Stops writing. */
    void stop() {
        wanted = false;
        if (timer != null) {
            timer.remove();
        }
    }

    /** Undertow writes an interim response past the buffer in which it collects responses to requests sent ahead. */
    private boolean flushEarlierResponses() throws IOException {
        PipeliningBufferingStreamSinkConduit buffer =
                ((HttpServerConnection) exchange.getConnection()).getPipelineBuffer();
        return buffer == null || buffer.flushPipelinedData();
    }

    private boolean send(HttpContinue.ContinueResponseSender started) throws IOException {
        if (started.send()) {
            sender = null;
            return true;
        }
        retryLater(() -> sendAgain(started));
        return false;
    }

    private void sendAgain(HttpContinue.ContinueResponseSender started) {
        try {
            if (send(started)) {
                listener.onReady();
            }
        } catch (IOException e) {
            listener.onFailed(e);
        }
    }

    private void retryLater(Runnable step) {
        timer = exchange.getIoThread().executeAfter(step, RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
