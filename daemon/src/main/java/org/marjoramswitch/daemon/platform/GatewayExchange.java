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

/** One HTTP request and its answer on one connection, driven by the connection's IO thread. */
final class GatewayExchange {

    /** What becomes of the exchange; exactly one of ended and cut comes last. */
    interface Listener {
        void head(int status, HeaderMap headers);

        void bytes(ByteBuffer bytes);

        /** The answer was read whole; {@code reusable} tells whether the connection may carry another exchange. */
        void ended(boolean reusable);

        /** The connection failed or was closed before the answer was whole. */
        void cut(String reason);
    }

    private final ClientConnection connection;
    private final ByteBufferPool buffers;
    private final Listener listener;
    private boolean requestWritten;
    private boolean over;

    private GatewayExchange(ClientConnection connection, ByteBufferPool buffers, Listener listener) {
        this.connection = connection;
        this.buffers = buffers;
        this.listener = listener;
    }

    /** Sends a request; must be called on the connection's IO thread. */
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
        connection.sendRequest(request, exchange.sending(body));
        return exchange;
    }

    /** Tells the listener that the connection is gone, unless the exchange is over. */
    void connectionClosed() {
        cut("the connection was closed");
    }

    /** Forgets the listener; the caller closes the connection. */
    void abandon() {
        over = true;
    }

    private ClientCallback<ClientExchange> sending(String body) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(receiving());
                if (body.isEmpty()) {
                    // An empty body goes out with the head.
                    requestWritten = true;
                    return;
                }
                new BodyWriter(body).setup(exchange.getRequestChannel());
            }

            @Override
            public void failed(IOException e) {
                cut("the request failed: " + e);
            }
        };
    }

    private ClientCallback<ClientExchange> receiving() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (over) {
                    return;
                }
                listener.head(
                        exchange.getResponse().getResponseCode(),
                        exchange.getResponse().getResponseHeaders());
                read(exchange.getResponseChannel());
            }

            @Override
            public void failed(IOException e) {
                cut("the answer failed: " + e);
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
            while (!over) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    end();
                    return;
                }
                buffer.flip();
                listener.bytes(buffer);
            }
        } catch (IOException e) {
            cut("the answer broke off: " + e);
        }
    }

    private void end() {
        over = true;
        listener.ended(requestWritten && connection.isOpen());
    }

    private void cut(String reason) {
        if (over) {
            return;
        }
        over = true;
        listener.cut(reason);
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
            cut("the request broke off: " + e);
        }
    }
}
