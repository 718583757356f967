import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is sound: it loses and delays nothing. */
final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    private record Change(String key, long revision, Item item) {}

    private final Map<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leaseEndsAtMs = new HashMap<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private final HttpServer server;
    private long revision = 1;
    private long lastLease = 100;

    private Store(HttpServer server) {
        this.server = server;
    }

    static Store start(String host) throws IOException {
        HttpServer http = HttpServer.create(new InetSocketAddress(host, 0), 200);
        Store store = new Store(http);
        http.createContext("/", store::handle);
        http.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        http.start();
        return store;
    }

    int port() {
        return server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** A write of the operator or of a replica. */
    synchronized void put(String key, String text) {
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        delete(key, ++revision);
        notifyAll();
    }

    private void put(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(value, at, before == null ? at : before.created, lease);
        items.put(key, item);
        history.add(new Change(key, at, item));
    }

    private void delete(String key, long at) {
        if (items.remove(key) != null) {
            history.add(new Change(key, at, null));
        }
    }

    private synchronized void expireLeases() {
        long nowMs = System.nanoTime() / 1_000_000;
        List<Long> ended = leaseEndsAtMs.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leaseEndsAtMs.remove(lease);
        leaseTtlMs.remove(lease);
        List<String> keys = items.entrySet().stream()
                .filter(entry -> entry.getValue().lease == lease)
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            long at = ++revision;
            keys.forEach(key -> delete(key, at));
            notifyAll();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            expireLeases();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            int status = 200;
            String answer;
            if (path.equals("/-/kv-key")) {
                answer = key(query.get("key"));
                status = answer == null ? 404 : 200;
            } else if (path.equals("/-/kv-range")) {
                answer = range(query.get("path_prefix"), query.getOrDefault("after", ""));
            } else if (path.equals("/-/kv-watch")) {
                answer = watch(
                        query.get("path_prefix"),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")));
            } else if (path.equals("/-/kv-txn")) {
                answer = transaction(Json.parse(body));
                status = answer.startsWith("!404") ? 404 : answer.startsWith("!412") ? 412 : 200;
                answer = answer.startsWith("!") ? answer.substring(4) : answer;
            } else if (path.equals("/-/kv-lease")) {
                answer = grant(Json.number(Json.parse(body), "ttl_ms"));
            } else if (path.startsWith("/-/kv-keep/")) {
                answer = keep(Long.parseLong(path.substring("/-/kv-keep/".length())));
                status = answer == null ? 404 : 200;
            } else if (path.startsWith("/-/kv-lease-end/")) {
                answer = end(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
                status = answer == null ? 404 : 200;
            } else {
                answer = null;
                status = 404;
            }
            byte[] bytes = (answer == null ? "{\"store_revision\":" + revision() + "}" : answer)
                    .getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (RuntimeException fault) {
            fault.printStackTrace();
            exchange.sendResponseHeaders(503, -1);
        }
    }

    private synchronized long revision() {
        return revision;
    }

    private static String json(String key, Item item) {
        return "{\"key\":" + Json.quote(key) + ",\"value\":" + Json.quote(item.value) + ",\"revision\":" + item.revision
                + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        if (item == null) {
            return null;
        }
        String text = json(key, item);
        return text.substring(0, text.length() - 1) + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0) {
                if (found.size() == 500) {
                    more = true;
                    break;
                }
                found.add(json(entry.getKey(), entry.getValue()));
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"has_more\":" + more + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs) {
        long endsAtMs = System.nanoTime() / 1_000_000 + waitMs;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision > after && change.key.startsWith(prefix)) {
                    events.add(
                            change.item == null
                                    ? "{\"key\":" + Json.quote(change.key) + ",\"revision\":" + change.revision
                                            + ",\"deleted\":true}"
                                    : json(change.key, change.item));
                }
            }
            long leftMs = endsAtMs - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"store_revision\":" + revision + "}";
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transaction(Map<String, Object> call) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) call.getOrDefault("expected_revision", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            String key = (String) expected.get("key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision) == Json.number(expected, "revision");
            if (item != null) {
                current.add(json(key, item));
            }
        }
        if (!holds) {
            return "!412{\"items\":[" + String.join(",", current) + "],\"store_revision\":" + revision + "}";
        }
        for (Object row : (List<Object>) call.getOrDefault("puts", List.of())) {
            long lease = Json.number((Map<String, Object>) row, "lease");
            if (lease != 0 && !leaseEndsAtMs.containsKey(lease)) {
                return "!404{\"store_revision\":" + revision + "}";
            }
        }
        long at = ++revision;
        for (Object row : (List<Object>) call.getOrDefault("puts", List.of())) {
            Map<String, Object> put = (Map<String, Object>) row;
            put((String) put.get("key"), (String) put.get("value"), Json.number(put, "lease"), at);
        }
        for (Object key : (List<Object>) call.getOrDefault("remove", List.of())) {
            delete((String) key, at);
        }
        notifyAll();
        return "{\"revision\":" + at + ",\"store_revision\":" + at + "}";
    }

    private synchronized String grant(long ttlMs) {
        long lease = ++lastLease;
        leaseTtlMs.put(lease, ttlMs);
        leaseEndsAtMs.put(lease, System.nanoTime() / 1_000_000 + ttlMs);
        return "{\"lease\":" + lease + ",\"ttl_ms\":" + ttlMs + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String keep(long lease) {
        Long ttlMs = leaseTtlMs.get(lease);
        if (ttlMs == null) {
            return null;
        }
        leaseEndsAtMs.put(lease, System.nanoTime() / 1_000_000 + ttlMs);
        return "{\"lease\":" + lease + ",\"ttl_ms\":" + ttlMs + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String end(long lease) {
        if (!leaseTtlMs.containsKey(lease)) {
            return null;
        }
        endLease(lease);
        return "{\"store_revision\":" + revision + "}";
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
