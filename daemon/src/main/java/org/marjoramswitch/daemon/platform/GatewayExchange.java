package org.marjoramswitch.daemon.platform;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.http.ResponseFault;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.target.FramingLimit;
import org.marjoramswitch.daemon.target.ReadBarrier;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One HTTP request and its response on a connection; runs on the connection's I/O thread. */
final class GatewayExchange {
    /** Bounds consecutive reads, so that other connections of the I/O thread get their share. */
    private static final int MAX_CONSECUTIVE_READS = 16;

    /** Receives the events of an exchange; the last one is either {@code onComplete} or {@code onFailed}. */
    interface Listener {
        void onHead(int status, HeaderMap headers);

        void onBytes(ByteBuffer bytes);

        /**
         * The complete response was received; {@code reusable} is true if the connection may carry another exchange.
         */
        void onComplete(boolean reusable);

        /** The connection failed or was closed before the response was complete. */
        void onFailed(String reason);
    }

    private final ClientConnection connection;
    private final ByteBufferPool buffers;
    private final ReadBarrier barrier;
    private final Listener listener;
    private boolean requestWritten;
    private boolean received;
    private boolean ended;

    private GatewayExchange(
            ClientConnection connection, ByteBufferPool buffers, ReadBarrier barrier, Listener listener) {
        this.connection = connection;
        this.buffers = buffers;
        this.barrier = barrier;
        this.listener = listener;
    }

    /** Sends a request; must be called on the connection's I/O thread. */
    static GatewayExchange send(
            ClientConnection connection,
            ByteBufferPool buffers,
            ReadBarrier barrier,
            HostPort address,
            String method,
            String path,
            String body,
            Listener listener) {
        GatewayExchange exchange = new GatewayExchange(connection, buffers, barrier, listener);
        ClientRequest request =
                new ClientRequest().setMethod(HttpString.tryFromString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address.toString());
        if (!method.equals(Methods.GET_STRING)) {
            request.getRequestHeaders()
                    .put(Headers.CONTENT_TYPE, "application/json")
                    .put(Headers.CONTENT_LENGTH, body.length());
        }
        FramingLimit.awaitsHead(connection);
        GrammarCheck.of(connection).awaitsHead(method);
        connection.sendRequest(request, exchange.requestCallback(body));
        return exchange;
    }

    /** Notifies the listener that the connection was closed, unless the exchange has ended. */
    void onConnectionClosed() {
        fail("the connection was closed");
    }

    /** Detaches the listener; the caller closes the connection. */
    void abandon() {
        ended = true;
    }

    private ClientCallback<ClientExchange> requestCallback(String body) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseCallback());
                if (body.isEmpty()) {
                    // An empty body is sent with the head.
                    requestWritten = true;
                    return;
                }
                new BodyWriter(body).setup(exchange.getRequestChannel());
            }

            @Override
            public void failed(IOException e) {
                fail("the request failed: " + e);
            }
        };
    }

    private ClientCallback<ClientExchange> responseCallback() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (ended) {
                    return;
                }
                FramingLimit.progressed(connection);
                listener.onHead(
                        exchange.getResponse().getResponseCode(),
                        exchange.getResponse().getResponseHeaders());
                read(exchange.getResponseChannel());
            }

            @Override
            public void failed(IOException e) {
                fail("reading the response failed: " + e);
            }
        };
    }

    private void read(StreamSourceChannel channel) {
        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::drain);
        drain(channel);
    }

    private void drain(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < MAX_CONSECUTIVE_READS && !ended; reads++) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    awaitMore(channel);
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                buffer.flip();
                FramingLimit.progressed(connection);
                received = true;
                listener.onBytes(buffer);
            }
        } catch (IOException e) {
            fail("the response was interrupted: " + e);
            return;
        }
        continueLater(channel);
    }

    private void awaitMore(StreamSourceChannel channel) {
        if (FramingLimit.awaitsMore(connection)) {
            channel.resumeReads();
        } else {
            fail("the memory for responses is exhausted");
        }
    }

    /** Reads on once the thread's other sockets have been read. */
    private void continueLater(StreamSourceChannel channel) {
        if (ended) {
            return;
        }
        // Otherwise the read listener would read, too, and add another task each time.
        channel.suspendReads();
        barrier.afterReads(() -> {
            if (!ended) {
                drain(channel);
            }
        });
    }

    private void complete() {
        GrammarCheck grammar = GrammarCheck.of(connection);
        // Without framing, a response that was cut before its body looks like an empty one.
        if (grammar.endsWithConnection() ? !received : !grammar.hasEnded()) {
            fail("the connection ended within the response");
            return;
        }
        ended = true;
        listener.onComplete(requestWritten && grammar.isReusable() && connection.isOpen());
    }

    private void fail(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        ResponseFault fault = GrammarCheck.of(connection).fault();
        listener.onFailed(fault == null ? reason : "the response is invalid: " + fault);
    }

    private final class BodyWriter extends StringWriteChannelListener {
        private BodyWriter(String body) {
            super(body);
        }

        @Override
        protected void writeDone(StreamSinkChannel channel) {
            super.writeDone(channel);
            requestWritten = true;
        }

        @Override
        protected void handleError(StreamSinkChannel channel, IOException e) {
            super.handleError(channel, e);
            fail("the request was interrupted: " + e);
        }
    }
}
