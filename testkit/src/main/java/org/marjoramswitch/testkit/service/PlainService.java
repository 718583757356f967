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
 * A plain service over HTTP that counts how often it executed each call. Calls are told apart by {@code X-Call-Key}, or
 * by {@code X-Request-Id} where there is none; the answer is {@code executed <request id>}, with {@code for <call key>}
 * where there is one, and echoes the id.
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

    /** Listens on a free port of 127.0.0.1; a call takes {@code workMs}, under {@link ServiceFault#SLOW} as much more. */
    public static PlainService start(long workMs, long slowMs) {
        return new PlainService(workMs, slowMs);
    }

    public int port() {
        return server.port();
    }

    public StandInServer server() {
        return server;
    }

    /** Goes wrong in this way from the next call on. */
    public void setFault(ServiceFault value) {
        fault = value;
    }

    /** How often each call was executed, by its key. */
    public Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    /** Calls that were executed more than once. */
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
            answer(exchange, "not started");
            return;
        }
        String id = header(exchange, REQUEST_ID, NO_KEY);
        String key = header(exchange, CALL_KEY, id);
        executions.merge(key, 1, Integer::sum);
        String text = key.equals(id) ? "executed " + id : "executed " + id + " for " + key;
        switch (current) {
            case HANG -> {}
            case BREAK_AFTER_EXECUTING -> StandInServer.connectionOf(exchange).cut();
            default -> answerAfterWork(exchange, text, current);
        }
    }

    private void answerAfterWork(HttpServerExchange exchange, String text, ServiceFault current) {
        long delayMs = current == ServiceFault.SLOW ? workMs + slowMs : workMs;
        exchange.getIoThread().executeAfter(() -> answer(exchange, text), delayMs, TimeUnit.MILLISECONDS);
    }

    private static void answer(HttpServerExchange exchange, String text) {
        exchange.getResponseHeaders().put(REQUEST_ID, header(exchange, REQUEST_ID, NO_KEY));
        ResponseStream stream = ResponseStream.of(exchange);
        stream.append(text.getBytes(StandardCharsets.UTF_8));
        stream.end();
    }

    private static String header(HttpServerExchange exchange, HttpString name, String otherwise) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? otherwise : value;
    }
}
