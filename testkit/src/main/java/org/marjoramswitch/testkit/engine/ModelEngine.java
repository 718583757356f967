package org.marjoramswitch.testkit.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.testkit.http.ResponseStream;
import org.marjoramswitch.testkit.http.StandInServer;

/**
 * Stand-in for an HTTP model engine with continuous batching: each step generates one token for every request in the
 * batch; the other requests are queued in order of arrival.
 *
 * <p>Implements {@code POST /v1/chat/completions} (streaming or not, usage at the end), {@code GET /v1/load},
 * {@code GET /v1/cache/events?after=n}, {@code GET /v1/requests/<id>}, {@code POST /v1/cancel/<id>},
 * {@code GET /v1/resume/<id>?from=n} and {@code POST|GET /v1/orders}. Export and import of the KV cache are not
 * implemented.
 *
 * <p>A request is identified by {@code X-Request-Id}, which the response echoes, and its customer by {@code X-Customer}
 * or the body's {@code user}. The response to a request that was not started is 503 with {@code X-Run: not-run}.
 * Executions are counted by the {@code request-id=} in the prompt, or by the header if the prompt has none; the output
 * of a prompt with an id starts with that id.
 */
public final class ModelEngine implements AutoCloseable {
    public static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    public static final HttpString CUSTOMER = HttpString.tryFromString("X-Customer");
    public static final HttpString RUN = HttpString.tryFromString("X-Run");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String NOT_RUN = "not-run";
    private static final String CANCEL_PATH = "/v1/cancel/";
    private static final String RESUME_PATH = "/v1/resume/";
    private static final String STATE_PATH = "/v1/requests/";

    private final EngineOptions options;
    private final EngineCounter counter = new EngineCounter();
    private final CacheEventLog cacheEvents;
    private final PrefixCache cache;
    private final Batch batch;
    private final ModelOrders orders;
    private final EngineLoop loop;
    private final StandInServer server;
    private final Map<String, Generation> generations = Collections.synchronizedMap(new RecentGenerations());
    private final AtomicLong unnamedRequests = new AtomicLong();
    private volatile EngineFault fault = EngineFault.NONE;
    private volatile LoadSample load = new LoadSample(0, 0, 0);

    private ModelEngine(EngineOptions options) {
        this.options = options;
        this.cacheEvents = new CacheEventLog(options.cacheEventDelayMs, options.cacheEventLostEvery);
        this.cache =
                new PrefixCache(options.cachedPrefixes, (hash, present) -> cacheEvents.add(hash, present, nowMs()));
        this.batch = new Batch(options, cache, counter);
        this.orders = new ModelOrders(options);
        this.loop = EngineLoop.of("engine-step", options.stepMs, this::step);
        this.server = StandInServer.start("engine", this::handle);
    }

    /** Listens on a free port of 127.0.0.1. */
    public static ModelEngine start(EngineOptions options) {
        ModelEngine engine = new ModelEngine(options);
        engine.loop.start();
        return engine;
    }

    /** Returns the text that every engine with these options generates for the chat request. */
    public static String expectedText(byte[] body, EngineOptions options) throws IOException {
        ChatRequest request = ChatRequest.parse("", "", body, options);
        return request.text(0, request.outputTokens());
    }

    public int port() {
        return server.port();
    }

    /** Returns the HTTP listener, which can refuse, close or silence connections. */
    public StandInServer server() {
        return server;
    }

    public EngineCounts counts() {
        return counter.counts();
    }

    /** Returns fencing number, kind and model of all applied orders in sequence, such as {@code 7 load atelier-llm}. */
    public List<String> appliedOrders() {
        List<String> applied = new ArrayList<>();
        orders.applied().forEach(order -> applied.add(order.fence() + " " + order.kind() + " " + order.model()));
        return applied;
    }

    /** Sets the fault of all subsequent requests. */
    public void setFault(EngineFault value) {
        fault = value;
    }

    /** Discards all requests, the cache and the models loaded by orders, and closes all connections. */
    public void restartEmpty() {
        server.closeConnections();
        loop.execute(() -> {
            batch.clear();
            cache.clear();
            cacheEvents.clear();
            generations.clear();
            orders.restart();
        });
    }

    @Override
    public void close() {
        loop.stop();
        server.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void step(double ms) {
        batch.step(ms);
        long nowMs = nowMs();
        if (nowMs - load.takenAtMs >= options.loadReportEveryMs) {
            load = new LoadSample(nowMs, batch.running(), batch.queued());
        }
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/v1/chat/completions")) {
            exchange.getRequestReceiver().receiveFullBytes((received, body) -> chat(received, body));
        } else if (path.equals("/v1/orders") && exchange.getRequestMethod().equalToString("POST")) {
            exchange.getRequestReceiver().receiveFullBytes((received, body) -> order(received, body));
        } else if (path.startsWith(CANCEL_PATH)) {
            cancel(exchange, path.substring(CANCEL_PATH.length()));
        } else if (options.resumes && path.startsWith(RESUME_PATH)) {
            resume(exchange, path.substring(RESUME_PATH.length()));
        } else {
            report(exchange, path);
        }
    }

    private void report(HttpServerExchange exchange, String path) {
        if (path.equals("/v1/load")) {
            send(exchange, 200, load.toJson(nowMs(), options.maxBatch));
        } else if (path.equals("/v1/cache/events")) {
            send(exchange, 200, cacheEventsAfter(longParameter(exchange, "after")));
        } else if (path.equals("/v1/orders")) {
            send(exchange, 200, orders.toJson(nowMs()));
        } else if (options.resumes && path.startsWith(STATE_PATH)) {
            send(exchange, 200, stateOf(path.substring(STATE_PATH.length())));
        } else {
            send(exchange, 404, error("no such path"));
        }
    }

    private void chat(HttpServerExchange exchange, byte[] body) {
        EngineFault current = fault;
        if (current == EngineFault.NOT_STARTED) {
            respondNotStarted(exchange);
            return;
        }
        ChatRequest request = parse(exchange, body);
        if (request == null) {
            send(exchange, 400, error("not a chat request"));
            return;
        }
        if (!orders.serves(request.model(), nowMs())) {
            respondNotStarted(exchange);
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> generate(exchange, request, current));
    }

    private @Nullable ChatRequest parse(HttpServerExchange exchange, byte[] body) {
        String id = header(exchange, REQUEST_ID, "unnamed-" + unnamedRequests.incrementAndGet());
        try {
            return ChatRequest.parse(id, header(exchange, CUSTOMER, ""), body, options);
        } catch (IOException e) {
            return null;
        }
    }

    private void generate(HttpServerExchange exchange, ChatRequest request, EngineFault current) {
        Generation generation = new Generation(request);
        generations.put(request.id(), generation);
        if (current != EngineFault.BREAK_OFF) {
            cancelOnClose(exchange, generation);
        }
        if (current != EngineFault.HANG) {
            respond(exchange, generation, current);
        }
        loop.execute(() -> batch.add(generation));
    }

    private void cancelOnClose(HttpServerExchange exchange, Generation generation) {
        if (options.cancelsOnClose) {
            StandInServer.connectionOf(exchange).onClose(exchange, () -> loop.execute(() -> batch.cancel(generation)));
        }
    }

    private void respond(HttpServerExchange exchange, Generation generation, EngineFault current) {
        ChatRequest request = generation.request();
        String responseId = current == EngineFault.WRONG_REQUEST_ID ? "other-" + request.id() : request.id();
        setHead(exchange, responseId, request.streaming());
        ResponseStream stream = ResponseStream.of(exchange);
        ChatResponse response = current == EngineFault.BREAK_OFF
                ? ChatResponse.truncated(stream, responseId, options.flushSteps, options.breakAfterTokens)
                : ChatResponse.complete(stream, responseId, 0, options.flushSteps);
        Runnable start = () -> loop.execute(() -> generation.listen(response));
        if (current == EngineFault.LATE) {
            exchange.getIoThread().executeAfter(start, options.lateMs, TimeUnit.MILLISECONDS);
        } else {
            start.run();
        }
    }

    private void resume(HttpServerExchange exchange, String id) {
        Generation generation = generations.get(id);
        if (generation == null || generation.state() == Generation.State.CANCELLED) {
            send(exchange, 404, error("no such request"));
            return;
        }
        if (fault == EngineFault.HANG) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        int fromToken = (int) longParameter(exchange, "from");
        setHead(exchange, id, generation.request().streaming());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            cancelOnClose(exchange, generation);
            ChatResponse response =
                    ChatResponse.complete(ResponseStream.of(exchange), id, fromToken, options.flushSteps);
            loop.execute(() -> generation.listen(response));
        });
    }

    private void cancel(HttpServerExchange exchange, String id) {
        Generation generation = generations.get(id);
        if (generation == null) {
            send(exchange, 404, error("no such request"));
            return;
        }
        loop.execute(() -> batch.cancel(generation));
        send(exchange, 200, JSON.createObjectNode().put("id", id));
    }

    private void order(HttpServerExchange exchange, byte[] body) {
        try {
            boolean applied = orders.apply(JSON.readTree(body), nowMs());
            send(exchange, applied ? 200 : 409, orders.toJson(nowMs()));
        } catch (IOException e) {
            send(exchange, 400, error("not an order"));
        }
    }

    private ObjectNode stateOf(String id) {
        Generation generation = generations.get(id);
        ObjectNode json = JSON.createObjectNode().put("id", id);
        if (generation == null) {
            return json.put("state", "unknown").put("tokens", 0);
        }
        String state = generation.state().name().toLowerCase(java.util.Locale.ROOT);
        return json.put("state", state).put("tokens", generation.tokens());
    }

    private ObjectNode cacheEventsAfter(long sequence) {
        ObjectNode json = JSON.createObjectNode().put("last", cacheEvents.lastSequence());
        ArrayNode events = json.putArray("events");
        cacheEvents
                .after(sequence, nowMs())
                .forEach(event -> events.addObject()
                        .put("sequence", event.sequence())
                        .put("prefix", Long.toHexString(event.prefixHash()))
                        .put("present", event.present()));
        return json;
    }

    private static void setHead(HttpServerExchange exchange, String responseId, boolean streaming) {
        exchange.getResponseHeaders().put(REQUEST_ID, responseId);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, streaming ? "text/event-stream" : "application/json");
    }

    private static void respondNotStarted(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(RUN, NOT_RUN);
        send(exchange, 503, error("not started"));
    }

    private static ObjectNode error(String message) {
        ObjectNode json = JSON.createObjectNode();
        json.putObject("error").put("message", message);
        return json;
    }

    private static void send(HttpServerExchange exchange, int status, ObjectNode json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        if (id != null) {
            exchange.getResponseHeaders().put(REQUEST_ID, id);
        }
        exchange.getResponseSender().send(json.toString(), StandardCharsets.UTF_8);
    }

    private static String header(HttpServerExchange exchange, HttpString name, String defaultValue) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? defaultValue : value;
    }

    private static long longParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? 0 : Long.parseLong(values.getFirst());
    }

    /** Recent requests, which can be queried, cancelled and resumed. */
    private static final class RecentGenerations extends LinkedHashMap<String, Generation> {
        private static final int MAX_SIZE = 4_096;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
            return size() > MAX_SIZE;
        }
    }

    private record LoadSample(long takenAtMs, int running, int queued) {
        ObjectNode toJson(long nowMs, int maxBatch) {
            return JSON.createObjectNode()
                    .put("running", running)
                    .put("queued", queued)
                    .put("maxBatch", maxBatch)
                    .put("ageMs", nowMs - takenAtMs);
        }
    }
}
