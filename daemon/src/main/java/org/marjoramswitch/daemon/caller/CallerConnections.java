package org.marjoramswitch.daemon.caller;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Serves HTTP on accepted connections, with the timeouts of {@link ConnectionTimeouts} in place of Undertow's. Limits hold
 * for open connections as well.
 */
final class CallerConnections {
    private static final int MAX_HEADERS = 100;
    /**
     * The parser's own bound, copied into each connection when it is accepted, so it must exceed all limits to come. An
     * incomplete head is bounded by {@link CallerConnection} before.
     */
    private static final int MAX_PARSED_HEAD_BYTES = 4 << 20;

    /**
     * Undertow's default is 2 MB. The limit is set for each request, except that Undertow copies it into a chunked body
     * before; {@link BodyReader} and {@link LingeringClose} limit that one.
     */
    private static final long NO_LIMIT = -1;

    private final Map<XnioIoThread, ConnectionTimeouts> timeouts = new HashMap<>();

    private final ConnectionEnds ends;

    private CallerConnections(ConnectionEnds ends) {
        this.ends = ends;
    }

    static CallerConnections of(XnioWorker worker, RecentLimits limits, LongSupplier clockMs, ConnectionEnds ends) {
        CallerConnections connections = new CallerConnections(ends);
        for (int i = 0; i < worker.getIoThreadCount(); i++) {
            XnioIoThread thread = worker.getIoThread(i);
            connections.timeouts.put(thread, ConnectionTimeouts.of(thread, limits, clockMs, ends));
        }
        return connections;
    }

    /** Returns a listener that serves the connections of one address with this handler. */
    Http serve(ByteBufferPool buffers, OptionMap options, HttpHandler handler) {
        HttpOpenListener undertow = new HttpOpenListener(buffers, OptionMap.EMPTY);
        undertow.setUndertowOptions(OptionMap.builder()
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_PARSED_HEAD_BYTES)
                .set(UndertowOptions.MAX_ENTITY_SIZE, NO_LIMIT)
                .set(UndertowOptions.ALWAYS_SET_DATE, true)
                .addAll(options)
                .getMap());
        undertow.setRootHandler(exchange -> handle(exchange, handler));
        return new Http(undertow);
    }

    private static void handle(HttpServerExchange exchange, HttpHandler handler) throws Exception {
        CallerConnection connection = CallerConnection.of(exchange);
        connection.requestBegins(exchange);
        exchange.addExchangeCompleteListener(connection);
        if (!exchange.isRequestComplete()) {
            CallerLimits applied = Objects.requireNonNullElse(connection.limits(), CallerLimits.DEFAULT);
            exchange.setMaxEntitySize(applied.maxBodyBytes() + 2 * LingeringClose.MAX_DRAINED_BYTES);
        }
        handler.handleRequest(exchange);
    }

    /** Receives the accepted connections of one address. */
    final class Http implements ChannelListener<StreamConnection> {
        private final HttpOpenListener undertow;

        private Http(HttpOpenListener undertow) {
            this.undertow = undertow;
        }

        @Override
        public void handleEvent(StreamConnection channel) {
            CallerConnection.open(channel, Objects.requireNonNull(timeouts.get(channel.getIoThread())), undertow);
        }

        void closeConnections() {
            ends.shutDown();
            undertow.closeConnections();
        }
    }
}
