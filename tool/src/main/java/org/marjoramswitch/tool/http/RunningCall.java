package org.marjoramswitch.tool.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** A call in progress. All methods except {@link #cancel} run on the I/O thread of the call's connection. */
public final class RunningCall {
    private static final int READ_BYTES = 8 * 1024;

    private final HttpCall call;
    private final HostPort address;
    private final CallListener listener;
    private final BiConsumer<HostPort, ClientConnection> idleConnections;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable ClientConnection connection;
    private volatile boolean cancelled;
    private boolean requestWritten;

    RunningCall(
            HttpCall call,
            HostPort address,
            CallListener listener,
            BiConsumer<HostPort, ClientConnection> idleConnections) {
        this.call = call;
        this.address = address;
        this.listener = listener;
        this.idleConnections = idleConnections;
    }

    /** Cancels the call unless it has ended; the listener receives {@link CallEnd#CANCELLED}. Safe from any thread. */
    public void cancel() {
        cancelled = true;
        ClientConnection openConnection = connection;
        if (openConnection == null) {
            end(CallEnd.CANCELLED);
            return;
        }
        openConnection.getIoThread().execute(() -> end(CallEnd.CANCELLED));
    }

    void notConnected() {
        end(cancelled ? CallEnd.CANCELLED : CallEnd.NOT_CONNECTED);
    }

    void send(ClientConnection openConnection) {
        connection = openConnection;
        if (cancelled) {
            end(CallEnd.CANCELLED);
            IoUtils.safeClose(openConnection);
            return;
        }
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        HeaderMap headers = request.getRequestHeaders();
        call.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        headers.put(Headers.HOST, address.toString());
        headers.put(Headers.CONTENT_LENGTH, call.body().length);
        GrammarCheck.of(openConnection).awaitsHead(call.method());
        openConnection.sendRequest(request, new ExchangeStarted());
    }

    private void write(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(ready -> write(ready, body));
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            flush(channel);
        } catch (IOException broken) {
            end(CallEnd.BROKEN);
        }
    }

    private void flush(StreamSinkChannel channel) {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
                requestWritten = true;
                return;
            }
            channel.getWriteSetter().set(this::flush);
            channel.resumeWrites();
        } catch (IOException broken) {
            end(CallEnd.BROKEN);
        }
    }

    private void readResponse(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        listener.onHead(response.getResponseCode(), headersOf(response.getResponseHeaders()));
        StreamSourceChannel channel = exchange.getResponseChannel();
        ChannelListener<StreamSourceChannel> reader = this::read;
        channel.getReadSetter().set(reader);
        read(channel);
    }

    private void read(StreamSourceChannel channel) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        try {
            while (!ended.get()) {
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    end(isComplete() ? CallEnd.COMPLETE : CallEnd.BROKEN);
                    return;
                }
                byte[] bytes = new byte[count];
                buffer.flip().get(bytes);
                buffer.clear();
                listener.onBytes(bytes);
            }
        } catch (IOException broken) {
            end(CallEnd.BROKEN);
        }
    }

    private boolean isComplete() {
        ClientConnection openConnection = connection;
        if (openConnection == null) {
            return false;
        }
        GrammarCheck grammar = GrammarCheck.of(openConnection);
        return grammar.endsWithConnection() || grammar.hasEnded();
    }

    private void end(CallEnd end) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        releaseConnection(end);
        listener.onEnd(end);
    }

    /** Pools the connection after a complete exchange; otherwise closes it, as it may carry unread response bytes. */
    private void releaseConnection(CallEnd end) {
        ClientConnection openConnection = connection;
        if (openConnection == null) {
            return;
        }
        if (end == CallEnd.COMPLETE
                && requestWritten
                && GrammarCheck.of(openConnection).isReusable()) {
            openConnection.getIoThread().execute(() -> idleConnections.accept(address, openConnection));
            return;
        }
        IoUtils.safeClose(openConnection);
    }

    private static Map<String, String> headersOf(HeaderMap headers) {
        Map<String, String> byName = new HashMap<>();
        for (HeaderValues values : headers) {
            byName.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst());
        }
        return byName;
    }

    private final class ExchangeStarted implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ResponseStarted());
            write(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
        }

        @Override
        public void failed(IOException cause) {
            end(CallEnd.BROKEN);
        }
    }

    private final class ResponseStarted implements ClientCallback<ClientExchange> {
        @Override
        public void completed(ClientExchange exchange) {
            readResponse(exchange);
        }

        @Override
        public void failed(IOException cause) {
            end(CallEnd.BROKEN);
        }
    }
}
