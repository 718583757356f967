import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part in the middle of a prompt crashes each replica that begins to write an answer on it, right after the first event. The
 * replica is back after three seconds. One request a second has that part; sound ones share its tenant and its first part.
 *
 * <p>The rule BUDGET is broken if more than three requests with the part reach replicas later than {@code stable_window_ms}
 * after the fifth crash.
 */
final class PoisonPart {
    private static final String[] ZONES = {"leith-a", "leith-b", "leith-c"};
    private static final String HOST = "ficu95.example";
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final int MACHINES = 3;
    private static final int REPLICAS = 9;
    private static final int DOWN_MS = 3_000;
    private static final int PIECES = 20;
    private static final int PIECE_MS = 30;
    private static final int FIRST_PIECE_MS = 60;
    private static final int DEADLINE_MS = 12_000;
    private static final int SOUND_INTERVAL_MS = 25;
    private static final int POISON_INTERVAL_MS = 1_000;
    private static final int CALM_S = 5;
    private static final int POISON_S = 35;
    private static final String FIRST_PART = "5c1e07a2";
    private static final String POISON_PART = "e4402b7d";
    private static final int STABLE_WINDOW_MS = 3_000;
    /** Time on the way from the machine to the replica; a request that was sent before the window's end isn't counted. */
    private static final int ON_THE_WAY_MS = 200;

    private static final int CRASHES_BEFORE = 5;
    private static final int BROKEN_IF_MORE_THAN = 3;

    private final StandIns.Record record;
    private final boolean trouble;
    private final List<StandIns.Node> nodes = new ArrayList<>();
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long fifthCrashMs = Long.MAX_VALUE / 2;

    private PoisonPart(StandIns.Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (StandIns.Record record = new StandIns.Record(Path.of(args[2]))) {
            try {
                status = new PoisonPart(record, trouble).run(Path.of(args[0]), Path.of(args[1]));
            } catch (IOException | RuntimeException fault) {
                record.add("the case could not run: " + fault);
            }
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private int run(Path root, Path folder) throws IOException, InterruptedException {
        StandIns.Store store = new StandIns.Store("127.77.3.10");
        for (int place = 0; place < REPLICAS; place++) {
            startReplica(store, place);
        }
        store.put("op/config", config());
        for (int i = 0; i < MACHINES; i++) {
            StandIns.Node node = new StandIns.Node(
                    root, folder, "edge-" + i, "127.77.3." + (1 + i), ZONES[i], ZONES, store.address());
            node.start();
            nodes.add(node);
        }
        nodes.forEach(StandIns.Node::awaitReady);
        StandIns.pause(3_000);
        long startMs = record.ms();
        long nextPoisonMs = startMs + CALM_S * 1_000;
        while (record.ms() < startMs + (CALM_S + POISON_S) * 1_000) {
            StandIns.daemon(() -> request(false));
            if (record.ms() >= nextPoisonMs) {
                nextPoisonMs += POISON_INTERVAL_MS;
                StandIns.daemon(() -> request(true));
            }
            StandIns.pause(SOUND_INTERVAL_MS);
        }
        StandIns.pause(2_000);
        for (StandIns.Node node : nodes) {
            record.add(node.name + (node.isAlive() ? " runs" : " has ended by itself"));
            node.kill();
        }
        record.add("crashes " + crashes + "; requests with the part that reached replicas later than " + STABLE_WINDOW_MS
                + " ms after the fifth: " + late + "; ends: " + new TreeMap<>(counts));
        if (counts.getOrDefault("sound 200", 0) == 0 || (trouble && crashes.get() < CRASHES_BEFORE)) {
            return 2;
        }
        return late.get() > BROKEN_IF_MORE_THAN ? 1 : 0;
    }

    /** Each start of a place has the same id, a new address and a new {@code born}. */
    private void startReplica(StandIns.Store store, int place) throws IOException {
        StandIns.Replica[] self = new StandIns.Replica[1];
        self[0] = new StandIns.Replica(
                "i-" + place, "manifest-lm", ZONES[place % ZONES.length], 64, "127.77.3." + (20 + place), record,
                (request, socket, out) -> stream(store, place, self[0], request, out));
        String born = "\"sequence\":1,\"born\":" + System.currentTimeMillis();
        store.put("servers/i-" + place, self[0].entry("ready").replace("\"sequence\":1", born));
    }

    private void stream(StandIns.Store store, int place, StandIns.Replica self, StandIns.Message request, OutputStream out)
            throws IOException {
        String attempt = request.header("attempt-id");
        boolean poison = trouble && request.header("prompt-prefix").contains(POISON_PART);
        if (poison) {
            boolean counted = record.ms() > fifthCrashMs + STABLE_WINDOW_MS + ON_THE_WAY_MS;
            late.addAndGet(counted ? 1 : 0);
            record.add("the part reaches " + self.id + " with " + attempt + (counted ? ", counted" : ""));
        }
        StandIns.pause(FIRST_PIECE_MS);
        out.write(StandIns.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: s-" + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int piece = 1; piece <= PIECES; piece++) {
            String event = "id: " + piece + "\ndata: " + attempt + "\n\n";
            out.write(StandIns.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            if (poison) {
                StandIns.pause(5);
                crash(store, place, self);
                return;
            }
            StandIns.pause(PIECE_MS);
        }
        out.write(StandIns.bytes("0\r\n\r\n"));
    }

    private void crash(StandIns.Store store, int place, StandIns.Replica self) {
        if (!self.crash()) {
            return;
        }
        int number = crashes.incrementAndGet();
        record.add("crash " + number + ": " + self.id);
        if (number == CRASHES_BEFORE) {
            fifthCrashMs = record.ms();
        }
        StandIns.daemon(() -> {
            StandIns.pause(DOWN_MS);
            try {
                startReplica(store, place);
            } catch (IOException e) {
                record.add("no replica in place " + place + ": " + e);
            }
        });
    }

    private void request(boolean poison) {
        String attempt = String.format("%016x", 0x9c41d07b00000000L + lastId.incrementAndGet());
        Random random = ThreadLocalRandom.current();
        String second = poison ? POISON_PART : Integer.toHexString(0x100 + random.nextInt(6));
        String prompt = "Model: m\r\nToken-Count: 1400,20\r\nPrompt-Prefix: " + FIRST_PART + ":800," + second + ":410,"
                + attempt + ":190\r\n";
        String kind = poison ? "with the part " : "sound ";
        String end;
        try (StandIns.Channel channel = new StandIns.Channel(nodes.get(random.nextInt(nodes.size())))) {
            channel.send("POST", "/pufi791/" + attempt, HOST, attempt, KEY, DEADLINE_MS, prompt, new byte[830]);
            end = Integer.toString(channel.receive(DEADLINE_MS).status());
        } catch (IOException e) {
            end = "broken";
        }
        counts.merge(kind + end, 1, Integer::sum);
        record.add("ended " + attempt + " " + kind + end);
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
