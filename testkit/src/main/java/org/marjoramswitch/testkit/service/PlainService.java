package org.marjoramswitch.testkit.service;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.testkit.http.ResponseStream;
import org.marjoramswitch.testkit.http.StandInServer;

/**
 * Plain HTTP service that counts how often it executes each call. Calls are identified by {@code X-Call-Key}, or by
 * {@code X-Request-Id} if that header is absent. The response is {@code executed <request id>}, followed by
 * {@code for <call key>} if there is one, and echoes the request id header.
 */
public final class PlainService implements AutoCloseable {
    public static final HttpString CALL_KEY = HttpString.tryFromString("X-Call-Key");
    public static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    private static final HttpString RUN = HttpString.tryFromString("X-Run");
    private static final String NO_KEY = "none";

    private final long workMs;
    private final long slowMs;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final StandInServer server;
    private volatile ServiceFault fault = ServiceFault.NONE;

    private PlainService(long workMs, long slowMs) {
        this.workMs = workMs;
        this.slowMs = slowMs;
        this.server = StandInServer.start("service", this::handle);
    }

    /**
     * Listens on a free port of 127.0.0.1; a call takes {@code workMs}, plus {@code slowMs} under
     * {@link ServiceFault#SLOW}.
     */
    public static PlainService start(long workMs, long slowMs) {
        return new PlainService(workMs, slowMs);
    }

    public int port() {
        return server.port();
    }

    public StandInServer server() {
        return server;
    }

    /** Sets the fault of all subsequent calls. */
    public void setFault(ServiceFault value) {
        fault = value;
    }

    /** Returns the number of executions of each call, by call key. */
    public Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    /** Returns the number of calls executed more than once. */
    public long duplicateExecutions() {
        return executions.values().stream().filter(times -> times > 1).count();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) ->
                        received.dispatch(SameThreadExecutor.INSTANCE, () -> execute(received, fault)));
    }

    private void execute(HttpServerExchange exchange, ServiceFault current) {
        if (current == ServiceFault.NOT_STARTED) {
            exchange.setStatusCode(503);
            exchange.getResponseHeaders().put(RUN, "not-run");
            respond(exchange, "not started");
            return;
        }
        String id = header(exchange, REQUEST_ID, NO_KEY);
        String key = header(exchange, CALL_KEY, id);
        executions.merge(key, 1, Integer::sum);
        String text = key.equals(id) ? "executed " + id : "executed " + id + " for " + key;
        switch (current) {
            case HANG -> {}
            case BREAK_AFTER_EXECUTING -> StandInServer.connectionOf(exchange).close();
            default -> respondAfterWork(exchange, text, current);
        }
    }

    private void respondAfterWork(HttpServerExchange exchange, String text, ServiceFault current) {
        long delayMs = current == ServiceFault.SLOW ? workMs + slowMs : workMs;
        exchange.getIoThread().executeAfter(() -> respond(exchange, text), delayMs, TimeUnit.MILLISECONDS);
    }

    private static void respond(HttpServerExchange exchange, String text) {
        exchange.getResponseHeaders().put(REQUEST_ID, header(exchange, REQUEST_ID, NO_KEY));
        ResponseStream stream = ResponseStream.of(exchange);
        stream.append(text.getBytes(StandardCharsets.UTF_8));
        stream.end();
    }

    private static String header(HttpServerExchange exchange, HttpString name, String defaultValue) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? defaultValue : value;
    }
}
