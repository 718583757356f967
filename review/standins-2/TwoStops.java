import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An instance gets a SIGTERM and, within its grace period, a second one, as when two stops of the same machine overlap. Its
 * requesters read streams of two seconds, all of which end well before the end of the grace period.
 */
final class TwoStops {
    private static final int REQUESTERS = 12;
    private static final long SECOND_AFTER_MS = 1_000;
    private static final long GRACE_MS = 8_000;

    private final Record record;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, String> ends = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    private TwoStops(Record record) {
        this.record = record;
    }

    /** Usage: TwoStops RECORD. */
    public static void main(String[] arguments) {
        int code = 2;
        try {
            Record record = new Record(Path.of(arguments[0]));
            code = new TwoStops(record).play();
            record.close();
        } catch (IOException | InterruptedException | RuntimeException fault) {
            fault.printStackTrace();
        }
        System.exit(code);
    }

    private int play() throws IOException, InterruptedException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = Store.start("127.0.0.1");
        Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), "127.0.0.1:" + store.port(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::end));
        String[] zones = {"hall-soudure", "hall-palette", "salle-controle"};
        store.put("op/config", Deployment.configuration(3));
        for (int i = 0; i < zones.length; i++) {
            Replica replica = Replica.start(
                    "127.0.0.1", "i-" + i + "0f3c2a", Deployment.ENGINES, record, Replica.Behaviour.SOUND, runs);
            store.put("servers/" + replica.id, replica.entry(zones[i], 1));
        }
        fleet.start(zones);
        if (!fleet.awaitReady(30_000)) {
            record.tell("the instances did not become ready");
            return 2;
        }
        Thread.sleep(2_000);
        Fleet.Node stopped = fleet.nodes.get(0);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            Random random = new Random(i);
            Thread thread = new Thread(() -> send(stopped, random));
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(8_000);
        record.tell("SIGTERM to %s", stopped.name);
        stopped.signal("TERM");
        stopping = true;
        if (trouble) {
            Thread.sleep(SECOND_AFTER_MS);
            record.tell("a second SIGTERM to %s", stopped.name);
            stopped.signal("TERM");
        }
        stopped.process.waitFor(GRACE_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
        record.tell("%s: exit %s", stopped.name, stopped.process.isAlive() ? "none" : stopped.process.exitValue());
        for (Thread thread : threads) {
            thread.join();
        }
        fleet.end();
        return judge();
    }

    /** Sends one request after the other until the stop; the last one was sent before it. */
    private void send(Fleet.Node node, Random random) {
        try (Requester requester = new Requester(node, record)) {
            Thread.sleep(random.nextInt(2_000));
            while (!stopping) {
                String attempt = String.format("%016x", random.nextLong());
                Http.Message answer = requester.send(
                        "POST", Deployment.STREAM + "2f", attempt, 12_000, "Model: m\r\nToken-Count: 628,300\r\n"
                                + "Prompt-Prefix: " + attempt.substring(0, 8) + ":628\r\n", "review");
                ends.put(attempt, answer == null ? "cut" : answer.status() + "");
            }
        } catch (IOException | InterruptedException e) {
            record.line("requester ended: %s", e);
        }
    }

    private int judge() {
        Set<String> faults = new TreeSet<>();
        ends.forEach((attempt, end) -> {
            if (end.equals("cut") && runs.containsKey(attempt)) {
                faults.add("LOST: " + attempt + " was passed on to a replica, and its channel ended without a whole answer");
            }
        });
        long whole = ends.values().stream().filter("200"::equals).count();
        record.tell("%d requests sent, %d answered whole", ends.size(), whole);
        faults.forEach(fault -> record.tell("%s", fault));
        return whole == 0 ? 2 : faults.isEmpty() ? 0 : 1;
    }
}
