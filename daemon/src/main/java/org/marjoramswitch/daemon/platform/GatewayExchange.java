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
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One HTTP request and its response on a connection; runs on the connection's I/O thread. */
final class GatewayExchange {

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
    private final Listener listener;
    private boolean requestWritten;
    private boolean ended;

    private GatewayExchange(ClientConnection connection, ByteBufferPool buffers, Listener listener) {
        this.connection = connection;
        this.buffers = buffers;
        this.listener = listener;
    }

    /** Sends a request; must be called on the connection's I/O thread. */
    static GatewayExchange send(
            ClientConnection connection,
            ByteBufferPool buffers,
            HostPort address,
            String method,
            String path,
            String body,
            Listener listener) {
        GatewayExchange exchange = new GatewayExchange(connection, buffers, listener);
        ClientRequest request =
                new ClientRequest().setMethod(HttpString.tryFromString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address.toString());
        if (!method.equals(Methods.GET_STRING)) {
            request.getRequestHeaders()
                    .put(Headers.CONTENT_TYPE, "application/json")
                    .put(Headers.CONTENT_LENGTH, body.length());
        }
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
            while (!ended) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                buffer.flip();
                listener.onBytes(buffer);
            }
        } catch (IOException e) {
            fail("the response was interrupted: " + e);
        }
    }

    private void complete() {
        ended = true;
        listener.onComplete(requestWritten && connection.isOpen());
    }

    private void fail(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        listener.onFailed(reason);
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
