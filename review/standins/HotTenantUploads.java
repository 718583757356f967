import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant uploads bodies within the operator's limit, all requesters of a second at once. With the disturbance it sends
 * nine times its usual for some seconds. Another tenant sends small requests that may run once, on kept channels.
 *
 * <p>The rule LOST is broken if more than three requests from kept channels have been passed on to a replica, which is sound,
 * and their channel ends without an answer.
 */
final class HotTenantUploads {
    private static final String[] ZONES = {"hall-soudure", "hall-palette", "salle-controle"};
    private static final String HOST = "ficu95.example";
    private static final String UPLOAD_KEY = "asnmgkcuyj8pjbvk9m68";
    private static final String SMALL_KEY = "k7b2ex5wa5xwyhks8nbk";
    private static final int MACHINES = 3;
    private static final int UPLOAD_BYTES = 1_060_000;
    private static final int SMALL_BYTES = 600;
    private static final int WORK_MS = 86;
    private static final int DEADLINE_MS = 3_000;
    private static final int USUAL_UPLOADS = 5;
    private static final int HOT_FACTOR = 9;
    private static final int USUAL_S = 4;
    private static final int HOT_S = 5;
    private static final int SMALL_REQUESTERS = 4;
    private static final int BROKEN_IF_MORE_THAN = 3;

    private final StandIns.Record record;
    private final List<StandIns.Node> nodes = new ArrayList<>();
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final Map<String, String> lost = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lastId = new AtomicInteger();
    private final Map<StandIns.Node, List<StandIns.Channel>> uploadChannels = new ConcurrentHashMap<>();
    private int nextRequester;

    private HotTenantUploads(StandIns.Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (StandIns.Record record = new StandIns.Record(Path.of(args[2]))) {
            try {
                status = new HotTenantUploads(record).run(Path.of(args[0]), Path.of(args[1]), trouble);
            } catch (IOException | RuntimeException fault) {
                record.add("the case could not run: " + fault);
            }
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private int run(Path root, Path folder, boolean trouble) throws IOException, InterruptedException {
        StandIns.Store store = new StandIns.Store("127.77.1.10");
        replicas(store, "cell-gateway", "gate", 3, 6);
        replicas(store, "atelier-llm", "report", 8, 48);
        store.put("op/config", config());
        for (int i = 0; i < MACHINES; i++) {
            StandIns.Node node = new StandIns.Node(
                    root, folder, "edge-" + i, "127.77.1." + (1 + i), ZONES[i], ZONES, store.address());
            node.start();
            nodes.add(node);
        }
        nodes.forEach(StandIns.Node::awaitReady);
        StandIns.pause(3_000);
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> requesters = new ArrayList<>();
        for (StandIns.Node node : nodes) {
            for (int i = 0; i < SMALL_REQUESTERS; i++) {
                requesters.add(StandIns.daemon(() -> sendSmall(node, ended)));
            }
        }
        openChannels();
        uploads(USUAL_UPLOADS, USUAL_S, requesters);
        record.add(trouble ? "the tenant sends " + HOT_FACTOR + " times its usual" : "no disturbance");
        uploads(trouble ? HOT_FACTOR * USUAL_UPLOADS : USUAL_UPLOADS, HOT_S, requesters);
        ended.set(true);
        for (Thread requester : requesters) {
            requester.join(DEADLINE_MS + 2_000);
        }
        return judge();
    }

    private int judge() throws IOException, InterruptedException {
        int exits = 0;
        for (StandIns.Node node : nodes) {
            boolean alive = node.isAlive();
            exits += alive ? 0 : 1;
            List<String> log = Files.readAllLines(node.log());
            record.add(node.name + (alive ? " runs" : " has ended by itself with status " + node.exitValue() + ": "
                    + log.get(log.size() - 1)));
            node.kill();
        }
        Set<String> counted = new TreeSet<>(lost.keySet());
        counted.retainAll(passedOn);
        counted.forEach(attempt -> record.add("passed on, not answered: " + attempt + " " + lost.get(attempt)));
        record.add("answered " + answered + ", passed on and not answered " + counted.size() + ", processes ended "
                + exits);
        return counted.size() > BROKEN_IF_MORE_THAN ? 1 : 0;
    }

    private void replicas(StandIns.Store store, String service, String name, int count, int slots) throws IOException {
        for (int i = 0; i < count; i++) {
            StandIns.Work answer = StandIns.answerAfter(WORK_MS);
            StandIns.Replica replica = new StandIns.Replica(
                    "i-" + name + i, service, ZONES[i % ZONES.length], slots, "127.77.1." + (20 + i), record,
                    (request, socket, out) -> {
                        passedOn.add(request.header("attempt-id"));
                        answer.run(request, socket, out);
                    });
            store.put("servers/" + replica.id, replica.entry("ready"));
        }
    }

    /** Opens the channels of the tenant that uploads, which it keeps, with a small request on each. */
    private void openChannels() throws InterruptedException {
        List<Thread> opening = new ArrayList<>();
        for (StandIns.Node node : nodes) {
            List<StandIns.Channel> channels = new ArrayList<>();
            uploadChannels.put(node, channels);
            opening.add(StandIns.daemon(() -> openChannels(node, channels)));
        }
        for (Thread thread : opening) {
            thread.join();
        }
    }

    private void openChannels(StandIns.Node node, List<StandIns.Channel> channels) {
        try {
            for (int i = 0; i < HOT_FACTOR * USUAL_UPLOADS; i++) {
                StandIns.Channel channel = new StandIns.Channel(node);
                exchange(channel, "/report/", UPLOAD_KEY, SMALL_BYTES, false);
                channels.add(channel);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** In each second this many requesters of each machine send one upload at the same time, in turn. */
    private void uploads(int perMachine, int seconds, List<Thread> requesters) {
        for (int second = 0; second < seconds; second++) {
            for (StandIns.Node node : nodes) {
                for (int i = 0; i < perMachine; i++) {
                    int requester = nextRequester++ % (HOT_FACTOR * USUAL_UPLOADS);
                    requesters.add(StandIns.daemon(() -> upload(node, requester)));
                }
            }
            StandIns.pause(1_000);
        }
    }

    private void upload(StandIns.Node node, int requester) {
        List<StandIns.Channel> channels = uploadChannels.get(node);
        synchronized (channels.get(requester)) {
            StandIns.Channel channel = channels.get(requester);
            try {
                boolean kept = channel.used();
                if (!exchange(channel, "/report/", UPLOAD_KEY, UPLOAD_BYTES, kept)) {
                    channel.reopen(node);
                }
            } catch (IOException e) {
                record.add("upload to " + node.name + " ended: " + e);
                reopen(channel, node);
            }
        }
    }

    private void reopen(StandIns.Channel channel, StandIns.Node node) {
        try {
            channel.reopen(node);
        } catch (IOException e) {
            record.add("no channel to " + node.name + ": " + e);
        }
    }

    private void sendSmall(StandIns.Node node, AtomicBoolean ended) {
        while (!ended.get() && node.isAlive()) {
            try (StandIns.Channel channel = new StandIns.Channel(node)) {
                boolean kept = false;
                while (!ended.get() && exchange(channel, "/stop/", SMALL_KEY, SMALL_BYTES, kept)) {
                    kept = true;
                }
            } catch (IOException e) {
                record.add("channel to " + node.name + " ended: " + e);
            }
            StandIns.pause(50);
        }
    }

    /** Sends one request and reads its answer; returns whether the channel may be used again. */
    private boolean exchange(StandIns.Channel channel, String path, String key, int bytes, boolean kept)
            throws IOException {
        String attempt = String.format("%016x", 0x9c41d07b00000000L + lastId.incrementAndGet());
        record.add("sent " + attempt + " " + path + " body=" + bytes + (kept ? " on a kept channel" : ""));
        try {
            channel.sendOrAnswered("POST", path + "2f", HOST, attempt, key, DEADLINE_MS, "", new byte[bytes]);
            StandIns.Message answer = channel.receive(DEADLINE_MS + 1_000);
            answered.incrementAndGet();
            record.add("answered " + attempt + " " + answer.status());
            return !answer.header("connection").equalsIgnoreCase("close");
        } catch (IOException e) {
            if (kept) {
                lost.put(attempt, String.valueOf(e.getMessage()));
            }
            throw e;
        }
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[" + route("r-stop", "/stop/", "cell-gateway") + ","
                + route("r-report", "/report/", "atelier-llm")
                + "],\"services\":[{\"name\":\"cell-gateway\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"atelier-llm\",\"health_path\":\"/health\","
                + "\"max_connections\":300,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + UPLOAD_KEY
                + "\"],\"priority\":1},{\"name\":\"wuta112\",\"api_keys\":[\"" + SMALL_KEY + "\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String service) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"route_type\":\"non_idempotent\",\"timeout_ms\":" + DEADLINE_MS
                + ",\"target_latency_ms\":386,\"priority\":1,\"service\":\"" + service
                + "\",\"attempts\":1,\"public\":false}";
    }
}
