package org.marjoramswitch.testkit.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;

/**
 * In-memory stand-in for the platform's key-value store, listening on a free port of 127.0.0.1. Implements the JSON
 * gateway of etcd v3 with revisions, versions, leases, transactions and watches.
 *
 * <p>Each fault is enabled at run time by one method; {@link #recover()} disables them all. Every call is counted by
 * kind on arrival, whatever its outcome; an open watch counts as one call.
 */
public final class KeyValueGateway implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final long LEASE_CHECK_MS = 50;
    private static final AttachmentKey<Boolean> COUNTED = AttachmentKey.create(Boolean.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final AtomicLong connections = new AtomicLong();
    private final LongSupplier nowMs;
    private final KeyValueTable table = new KeyValueTable();
    private final GatewayOperations operations = GatewayOperations.on(table);
    private final GatewayFaults faults = new GatewayFaults();
    private final Map<CallKind, AtomicLong> calls = new EnumMap<>(CallKind.class);
    private final Set<WatchStream> watches = ConcurrentHashMap.newKeySet();
    private final ExecutorService watchThreads = Executors.newCachedThreadPool(KeyValueGateway::daemonThread);
    private Undertow server;
    private final int port;
    private boolean accepting = true;
    private volatile boolean closed;

    private KeyValueGateway(LongSupplier nowMs) {
        this.nowMs = nowMs;
        for (CallKind kind : CallKind.values()) {
            calls.put(kind, new AtomicLong());
        }
        server = serve(0);
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** Starts the stand-in on a free port. */
    public static KeyValueGateway start() {
        return start(System::currentTimeMillis);
    }

    /** Starts the stand-in with the given clock, which determines when leases expire. */
    public static KeyValueGateway start(LongSupplier nowMs) {
        KeyValueGateway gateway = new KeyValueGateway(nowMs);
        gateway.watchThreads.execute(gateway::runLeaseExpiry);
        return gateway;
    }

    public String host() {
        return HOST;
    }

    public int port() {
        return port;
    }

    // Faults.

    /** Closes every connection and refuses new ones. */
    public synchronized void refuseConnections() {
        if (!accepting) {
            return;
        }
        accepting = false;
        server.stop();
    }

    /** Responds to every call with status 503 without executing it. */
    public void respondUnavailable() {
        faults.outage(GatewayFaults.Outage.UNAVAILABLE);
    }

    /** Accepts every call, but neither executes it nor responds. */
    public void hang() {
        faults.outage(GatewayFaults.Outage.HANG);
    }

    /** Delays the execution of every call, and thus its response, by this time. */
    public void delayMs(long delayMs) {
        faults.delayMs(delayMs);
    }

    /** Executes the next {@code writes} writes and closes their connections instead of responding. */
    public void dropResponses(int writes) {
        faults.dropResponses(writes);
    }

    /** Responds to the next {@code count} calls with status 429. */
    public void limitNextCalls(int count) {
        faults.limitNext(count);
    }

    /** Responds with status 429 to calls beyond this number per second. */
    public void limitCallsPerSecond(int limit) {
        faults.callsPerSecond(limit);
    }

    /** Closes the connections of all open watches. */
    public void breakWatches() {
        watches.forEach(WatchStream::cut);
    }

    /** Keeps all currently open watches open without sending further events; new watches work. */
    public void stallWatches() {
        watches.forEach(WatchStream::stall);
    }

    /** Discards the history, so that a watch from an older revision is cancelled. */
    public void compact() {
        synchronized (table) {
            table.compact(table.revision());
        }
    }

    /** Expires all leases immediately and deletes the entries attached to them. */
    public void expireAllLeases() {
        synchronized (table) {
            table.leaseIds().forEach(table::revoke);
        }
    }

    /** Simulates a restore from an empty backup: no entries, leases or history, and revisions restart. */
    public void restoreEmpty() {
        synchronized (table) {
            table.reset();
        }
    }

    /** Disables every fault. */
    public synchronized void recover() {
        faults.clear();
        if (!accepting) {
            server = serve(port);
            accepting = true;
        }
    }

    // State and operations available to tests.

    /** Returns the number of calls of one kind received so far. */
    public long calls(CallKind kind) {
        return countOf(kind).get();
    }

    /** Returns the number of calls of all kinds received so far. */
    public long calls() {
        return calls.values().stream().mapToLong(AtomicLong::get).sum();
    }

    /** Returns the number of connections on which a call has been received so far. */
    public long connections() {
        return connections.get();
    }

    /** Returns the number of open watches. */
    public int waitingWatches() {
        return watches.size();
    }

    public long revision() {
        synchronized (table) {
            return table.revision();
        }
    }

    public void put(String key, String value) {
        synchronized (table) {
            table.put(bytes(key), bytes(value), 0);
            table.commit();
        }
    }

    public void delete(String key) {
        synchronized (table) {
            table.delete(bytes(key), "");
            table.commit();
        }
    }

    public Optional<String> value(String key) {
        synchronized (table) {
            return Optional.ofNullable(table.get(bytes(key)))
                    .map(entry -> new String(entry.value().getBytes(ISO_8859_1), UTF_8));
        }
    }

    /** Writes the list entry of an instance; {@code state} is live or leaving. */
    public void putInstance(String id, String callers, String peers, String dataCentre, String state) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("callers", callers)
                .put("peers", peers)
                .put("dataCentre", dataCentre)
                .put("state", state);
        put("list/instances/" + id, body.toString());
    }

    public void deleteInstance(String id) {
        delete("list/instances/" + id);
    }

    /** Writes the list entry of a target; {@code state} is live or leaving. */
    public void putTarget(String id, String state) {
        put(
                "list/targets/" + id,
                JsonNodeFactory.instance.objectNode().put("state", state).toString());
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (accepting) {
            server.stop();
        }
        watchThreads.shutdownNow();
    }

    private Undertow serve(int listenPort) {
        PathHandler paths = new PathHandler();
        for (CallKind kind : CallKind.values()) {
            paths.addExactPath(kind.path(), exchange -> receive(kind, exchange));
        }
        paths.addExactPath("/v3/kv/lease/revoke", exchange -> receive(CallKind.LEASE_REVOKE, exchange));
        Undertow undertow = Undertow.builder()
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .addHttpListener(listenPort, HOST)
                .setHandler(paths)
                .build();
        undertow.start();
        return undertow;
    }

    private void receive(CallKind kind, HttpServerExchange exchange) {
        if (exchange.getConnection().putAttachment(COUNTED, true) == null) {
            connections.incrementAndGet();
        }
        // Read before the call is counted: a test that waits for the count may disable the faults right after it.
        GatewayFaults.Outage outage = faults.outage();
        long delayMs = faults.delayMs();
        countOf(kind).incrementAndGet();
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) -> admit(kind, received, body, outage, delayMs));
    }

    private void admit(
            CallKind kind, HttpServerExchange exchange, byte[] body, GatewayFaults.Outage outage, long delayMs) {
        if (outage == GatewayFaults.Outage.HANG) {
            exchange.dispatch(() -> {});
            return;
        }
        if (outage == GatewayFaults.Outage.UNAVAILABLE) {
            respond(exchange, GatewayReply.unavailable());
            return;
        }
        if (faults.limitsThisCall(nowMs.getAsLong())) {
            respond(exchange, GatewayReply.tooManyRequests());
            return;
        }
        if (delayMs <= 0) {
            execute(kind, exchange, body);
            return;
        }
        exchange.dispatch(() -> exchange.getIoThread()
                .executeAfter(() -> execute(kind, exchange, body), delayMs, TimeUnit.MILLISECONDS));
    }

    private void execute(CallKind kind, HttpServerExchange exchange, byte[] body) {
        JsonNode request;
        try {
            request = JSON.readTree(body);
        } catch (IOException e) {
            respond(exchange, GatewayReply.invalid("not JSON"));
            return;
        }
        if (kind == CallKind.WATCH) {
            watch(exchange, request.path("create_request"));
            return;
        }
        GatewayReply reply = apply(kind, request);
        if (kind.isWrite() && faults.dropsThisResponse()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        respond(exchange, reply);
    }

    private GatewayReply apply(CallKind kind, JsonNode request) {
        long now = nowMs.getAsLong();
        synchronized (table) {
            table.expireLeases(now);
            return switch (kind) {
                case RANGE -> operations.range(request);
                case PUT -> operations.put(request);
                case DELETE_RANGE -> operations.deleteRange(request);
                case TXN -> operations.txn(request);
                case LEASE_GRANT -> operations.grant(request, now);
                case LEASE_KEEP_ALIVE -> operations.keepAlive(request, now);
                case LEASE_REVOKE -> operations.revoke(request);
                case WATCH -> GatewayReply.invalid("a watch is a stream");
            };
        }
    }

    private void watch(HttpServerExchange exchange, JsonNode create) {
        WatchStream stream;
        synchronized (table) {
            stream = WatchStream.open(exchange, table, operations, create);
        }
        watches.add(stream);
        exchange.getConnection().addCloseListener(connection -> watches.remove(stream));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.dispatch(watchThreads, stream::run);
    }

    private static void respond(HttpServerExchange exchange, GatewayReply reply) {
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(reply.body().toString());
    }

    private void runLeaseExpiry() {
        try {
            while (!closed) {
                synchronized (table) {
                    table.expireLeases(nowMs.getAsLong());
                }
                TimeUnit.MILLISECONDS.sleep(LEASE_CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private AtomicLong countOf(CallKind kind) {
        return Objects.requireNonNull(calls.get(kind));
    }

    private static String bytes(String text) {
        return new String(text.getBytes(UTF_8), ISO_8859_1);
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "key-value-gateway");
        thread.setDaemon(true);
        return thread;
    }
}
