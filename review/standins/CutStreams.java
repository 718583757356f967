import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters read streams over kept channels with the HTTP client of the JDK. With the disturbance, two of nine replicas crash
 * for two seconds, seven times.
 *
 * <p>The rule is broken if a requester gets a success whose body the client hands out as whole, though the replica's last piece
 * is not in it.
 */
final class CutStreams {
    private static final String[] ZONES = {"leith-a", "leith-b", "leith-c"};
    private static final String HOST = "ficu95.example";
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final int MACHINES = 3;
    private static final int REPLICAS = 9;
    private static final int CRASHED = 2;
    private static final int CRASHES = 7;
    private static final int DOWN_MS = 2_000;
    /** Three check-in intervals of 1,200 ms, after which the store drops the entry of a replica that crashed. */
    private static final int SILENT_MS = 3_600;

    private static final int BETWEEN_MS = 5_000;
    private static final int MAX_THINK_MS = 300;
    private static final int REQUESTERS_PER_MACHINE = 80;
    private static final int PIECES = 30;
    private static final int PIECE_MS = 30;
    private static final int DEADLINE_MS = 12_000;

    private final StandIns.Record record;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final List<StandIns.Node> nodes = new ArrayList<>();
    private final Map<String, Integer> sentPieces = new ConcurrentHashMap<>();
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger lastReplica = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();

    private CutStreams(StandIns.Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (StandIns.Record record = new StandIns.Record(Path.of(args[2]))) {
            try {
                status = new CutStreams(record).run(Path.of(args[0]), Path.of(args[1]), trouble);
            } catch (IOException | RuntimeException fault) {
                record.add("the case could not run: " + fault);
            }
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private int run(Path root, Path folder, boolean trouble) throws IOException, InterruptedException {
        StandIns.Store store = new StandIns.Store("127.77.2.10");
        List<StandIns.Replica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(startReplica(store, i));
        }
        store.put("op/config", config());
        for (int i = 0; i < MACHINES; i++) {
            StandIns.Node node = new StandIns.Node(
                    root, folder, "edge-" + i, "127.77.2." + (1 + i), ZONES[i], ZONES, store.address());
            node.start();
            nodes.add(node);
        }
        nodes.forEach(StandIns.Node::awaitReady);
        StandIns.pause(3_000);
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> requesters = new ArrayList<>();
        for (StandIns.Node node : nodes) {
            for (int i = 0; i < REQUESTERS_PER_MACHINE; i++) {
                requesters.add(StandIns.daemon(() -> readStreams(node, ended)));
                StandIns.pause(20);
            }
        }
        StandIns.pause(BETWEEN_MS);
        for (int crash = 0; crash < CRASHES; crash++) {
            if (trouble) {
                crash(store, replicas, crash);
            }
            StandIns.pause(BETWEEN_MS);
        }
        ended.set(true);
        for (Thread requester : requesters) {
            requester.join(DEADLINE_MS);
        }
        for (StandIns.Node node : nodes) {
            record.add(node.name + (node.isAlive() ? " runs" : " has ended by itself"));
            node.kill();
        }
        record.add("ends: " + new TreeMap<>(counts) + "; successes that look whole without their last piece: " + broken);
        if (counts.getOrDefault("whole", 0) == 0) {
            return 2;
        }
        return broken.get() > 0 ? 1 : 0;
    }

    private StandIns.Replica startReplica(StandIns.Store store, int place) throws IOException {
        StandIns.Replica replica = new StandIns.Replica(
                "i-" + lastReplica.incrementAndGet(), "manifest-lm", ZONES[place % ZONES.length], 64,
                "127.77.2." + (20 + place), record, (request, socket, out) -> stream(request, out));
        store.put("servers/" + replica.id, replica.entry("ready"));
        return replica;
    }

    /** Ends replicas as a killed process ends; others take their places after the time for which they are down. */
    private void crash(StandIns.Store store, List<StandIns.Replica> replicas, int crash) {
        for (int i = 0; i < CRASHED; i++) {
            int place = (crash * CRASHED + i) % REPLICAS;
            StandIns.Replica crashed = replicas.get(place);
            record.add("replica " + crashed.id + " crashes");
            crashed.crash();
            StandIns.daemon(() -> {
                StandIns.pause(DOWN_MS);
                try {
                    replicas.set(place, startReplica(store, place));
                } catch (IOException e) {
                    record.add("no replica in place " + place + ": " + e);
                }
                StandIns.pause(SILENT_MS - DOWN_MS);
                store.remove("servers/" + crashed.id);
            });
        }
    }

    /** Sends the pieces of a stream in chunks; the last piece says that it is the last one. */
    private void stream(StandIns.Message request, java.io.OutputStream out) throws IOException {
        String attempt = request.header("attempt-id");
        out.write(StandIns.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: s-" + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int piece = 1; piece <= PIECES; piece++) {
            String event = "id: " + piece + "\ndata: " + attempt + (piece == PIECES ? " last" : " more") + "\n\n";
            out.write(StandIns.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            sentPieces.put(attempt, piece);
            StandIns.pause(PIECE_MS);
        }
        out.write(StandIns.bytes("0\r\n\r\n"));
    }

    private void readStreams(StandIns.Node node, AtomicBoolean ended) {
        while (!ended.get()) {
            String attempt = String.format("%016x", 0x9c41d07b00000000L + lastId.incrementAndGet());
            try {
                record.add("sent " + attempt);
                HttpResponse<InputStream> answer =
                        client.send(request(node, attempt), HttpResponse.BodyHandlers.ofInputStream());
                String body = new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
                judge(attempt, answer, body);
                StandIns.pause(ThreadLocalRandom.current().nextInt(MAX_THINK_MS));
            } catch (IOException e) {
                counts.merge("reported as broken by the client", 1, Integer::sum);
                record.add("broken " + attempt + ": " + e);
                StandIns.pause(100);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void judge(String attempt, HttpResponse<InputStream> answer, String body) {
        if (answer.statusCode() != 200) {
            counts.merge("status " + answer.statusCode(), 1, Integer::sum);
            record.add("answered " + attempt + " " + answer.statusCode());
            StandIns.pause(100);
            return;
        }
        if (body.endsWith("data: " + attempt + " last\n\n")) {
            boolean framed = answer.headers().firstValue("transfer-encoding").isPresent()
                    || answer.headers().firstValue("content-length").isPresent();
            counts.merge("whole", 1, Integer::sum);
            counts.merge(framed ? "whole, framed" : "whole, neither length nor chunks", 1, Integer::sum);
            record.add("answered " + attempt + " 200, whole");
            return;
        }
        broken.incrementAndGet();
        record.add("answered " + attempt + " 200 with " + body.length() + " bytes that look whole, without the last piece;"
                + " the replica had sent " + sentPieces.get(attempt) + " of " + PIECES + " pieces; headers "
                + answer.headers().map());
    }

    private HttpRequest request(StandIns.Node node, String attempt) {
        return HttpRequest.newBuilder(URI.create("http://" + node.ip + ":" + node.frontend + "/pufi791/2f"))
                .timeout(Duration.ofMillis(DEADLINE_MS))
                .header("Host", HOST)
                .header("Attempt-Id", attempt)
                .header("Deadline-Ms", Integer.toString(DEADLINE_MS))
                .header("Authorization", "Bearer " + KEY)
                .header("Model", "m")
                .header("Token-Count", "826,58")
                .header("Prompt-Prefix", "5c1e07a2:198," + attempt + ":628")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[830]))
                .build();
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-mvtdhbj\",\"hostname\":\"" + HOST
                + "\",\"path_prefix\":\"/pufi791/\",\"route_type\":\"streaming\",\"timeout_ms\":" + DEADLINE_MS
                + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"manifest-lm\",\"attempts\":1,"
                + "\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}],"
                + "\"services\":[{\"name\":\"manifest-lm\",\"health_path\":\"/health\",\"max_connections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":511815,"
                + "\"kv_token_bytes\":18432,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
                + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000,\"tokens_per_s\":196000},\"tenants\":[{\"name\":\"hule930\","
                + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }
}
