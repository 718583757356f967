import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines of a zone are restarted one after the other. Once the first is back, one replica of each service reports in the
 * store that it drains; the second machine gets its SIGTERM a second later. The requesters of the first machine go on all the
 * while. There are six services, so that the restarted machine places the requests of some of them.
 */
final class LeavingReplicas {
    private static final int SERVICES = 6;
    private static final int REPLICAS = 3;
    private static final long DRAIN_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long SECOND_STOP_AFTER_MS = 900;
    private static final long WATCHED_MS = 8_000;

    private final Record record;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> sentAtMs = new ConcurrentHashMap<>();
    /** When a request reached a replica that leaves, by the request's id. */
    private final Map<String, Long> reachedAtMs = new ConcurrentHashMap<>();

    private volatile boolean ended;

    private LeavingReplicas(Record record) {
        this.record = record;
    }

    /** Usage: LeavingReplicas RECORD. */
    public static void main(String[] arguments) {
        int code = 2;
        try {
            Record record = new Record(Path.of(arguments[0]));
            code = new LeavingReplicas(record).play();
            record.close();
        } catch (IOException | InterruptedException | RuntimeException fault) {
            fault.printStackTrace();
        }
        System.exit(code);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private int play() throws IOException, InterruptedException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = Store.start("127.0.0.1");
        Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), "127.0.0.1:" + store.port(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::end));
        store.put("op/config", configuration());
        List<Replica> leaving = new ArrayList<>();
        for (int i = 0; i < SERVICES * REPLICAS; i++) {
            boolean leaves = i % REPLICAS == 0;
            Replica replica = Replica.start(
                    "127.0.0.1", "i-" + i + "0f3c2a", "svc" + i / REPLICAS, record, behaviour(leaves), runs);
            store.put("servers/" + replica.id, replica.entry("hall-soudure", 1));
            if (leaves) {
                leaving.add(replica);
            }
        }
        fleet.start(new String[] {"hall-palette", "hall-palette", "hall-soudure"});
        if (!fleet.awaitReady(30_000)) {
            record.tell("the instances did not become ready");
            return 2;
        }
        Thread.sleep(6_000);
        Fleet.Node first = fleet.nodes.get(0);
        Fleet.Node second = fleet.nodes.get(1);
        long startedAtMs = nowMs() - STABLE_WINDOW_MS;
        if (trouble) {
            record.tell("SIGTERM to %s", first.name);
            first.signal("TERM");
            first.process.waitFor(9, TimeUnit.SECONDS);
            startedAtMs = nowMs();
            fleet.launch(first);
        }
        while (!Fleet.isReady(first)) {
            Thread.sleep(10);
        }
        for (int i = 0; i < 2 * SERVICES; i++) {
            int service = i % SERVICES;
            Random random = new Random(i);
            Replica.thread(() -> send(first, service, random));
        }
        while (reachedAtMs.isEmpty()) {
            Thread.sleep(10); // until the instance has read the list of replicas
        }
        Thread.sleep(100);
        for (Replica replica : leaving) {
            store.put("servers/" + replica.id, replica.entry("hall-soudure", 2).replace("\"ready\"", "\"draining\""));
        }
        long leavingAtMs = nowMs();
        record.tell("a replica of each service drains, accepted by the store %d ms after the start of %s",
                leavingAtMs - startedAtMs, first.name);
        if (trouble) {
            Thread.sleep(SECOND_STOP_AFTER_MS);
            record.tell("SIGTERM to %s", second.name);
            second.signal("TERM");
        }
        Thread.sleep(WATCHED_MS);
        ended = true;
        fleet.end();
        return judge(startedAtMs + STABLE_WINDOW_MS, leavingAtMs + DRAIN_MS);
    }

    private static String configuration() {
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            routes.add("{\"name\":\"r" + i + "\",\"hostname\":\"" + Deployment.HOST + "\",\"path_prefix\":\"/r" + i
                    + "/\",\"route_type\":\"non_idempotent\",\"attempts\":2,\"timeout_ms\":3000,\"target_latency_ms\":386,"
                    + "\"priority\":1,\"service\":\"svc" + i + "\"}");
            services.add("{\"name\":\"svc" + i + "\",\"health_path\":\"" + Replica.HEALTH + "\"}");
        }
        return "{\"version\":3,\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services)
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":5000,"
                + "\"idle_timeout_ms\":10000},\"tenants\":[{\"name\":\"" + Deployment.TENANT + "\",\"api_keys\":[\""
                + Deployment.KEY + "\"]}]}";
    }

    /** The replicas that leave are the fastest, so that instances prefer them. */
    private Replica.Behaviour behaviour(boolean leaves) {
        return new Replica.Behaviour() {
            @Override
            public long workMs(Http.Message request) {
                if (leaves) {
                    reachedAtMs.put(request.header("attempt-id"), nowMs());
                }
                return leaves ? 5 : 60;
            }
        };
    }

    private void send(Fleet.Node node, int service, Random random) {
        try (Requester requester = new Requester(node, record)) {
            while (!ended) {
                String attempt = String.format("%016x", random.nextLong());
                sentAtMs.put(attempt, nowMs());
                requester.send("POST", "/r" + service + "/2f", attempt, 3_000, "", "acknowledge " + attempt);
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            record.line("requester ended: %s", e);
        }
    }

    /** @param inTouchAtMs requests that were sent before are not counted */
    private int judge(long inTouchAtMs, long boundMs) {
        int late = 0;
        long latestMs = 0;
        for (Map.Entry<String, Long> reached : reachedAtMs.entrySet()) {
            if (reached.getValue() > boundMs && sentAtMs.getOrDefault(reached.getKey(), 0L) >= inTouchAtMs) {
                late++;
                latestMs = Math.max(latestMs, reached.getValue() - boundMs);
            }
        }
        record.tell("%d requests sent, %d reached replicas that leave", sentAtMs.size(), reachedAtMs.size());
        if (late > 0) {
            record.tell("DRAIN: %d requests reached them more than %d ms after their leaving was accepted, up to %d ms later", late,
                    DRAIN_MS, latestMs);
        }
        return sentAtMs.size() < 100 ? 2 : late > 0 ? 1 : 0;
    }
}
