import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
 * One replica of three sends, after 3 in 100 of its complete answers, additional bytes that belong to no request. They arrive
 * late, where the next answer on the channel is expected. The replica runs the next request as usual and answers it.
 *
 * <p>One request in four is one that the application answers with 404, whichever replica runs it.
 */
final class ExtraBytes {
    private static final double SHARE_OF_ANSWERS = 0.03;
    private static final int REQUESTERS = 8;
    /** The requesters go on until this many additional answers were sent, or until the longest time has passed. */
    private static final int ENOUGH = 40;
    private static final int NOT_FOUND = 404;
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

    private final Record record;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Http.Message> answers = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();

    private ExtraBytes(Record record) {
        this.record = record;
    }

    /** Usage: ExtraBytes KIND RULE SECONDS RECORD; the kind names the bytes, and the time is the longest. */
    public static void main(String[] arguments) {
        int code = 2;
        try {
            Record record = new Record(Path.of(arguments[3]));
            code = new ExtraBytes(record).play(arguments[0], arguments[1], Long.parseLong(arguments[2]) * 1_000);
            record.close();
        } catch (IOException | InterruptedException | RuntimeException fault) {
            fault.printStackTrace();
        }
        System.exit(code);
    }

    private int play(String kind, String rule, long lengthMs) throws IOException, InterruptedException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = Store.start("127.0.0.1");
        Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), "127.0.0.1:" + store.port(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::end));
        String[] zones = {"hall-soudure", "hall-palette", "salle-controle"};
        store.put("op/config", Deployment.configuration(3));
        for (int i = 0; i < zones.length; i++) {
            Replica replica = Replica.start(
                    "127.0.0.1", "i-" + i + "0f3c2a", Deployment.SERVICE, record, behaviour(trouble && i == 0, kind), runs);
            store.put("servers/" + replica.id, replica.entry(zones[i], 1));
        }
        fleet.start(zones);
        if (!fleet.awaitReady(30_000)) {
            record.tell("the instances did not become ready");
            return 2;
        }
        Thread.sleep(2_000);
        send(fleet, lengthMs);
        Thread.sleep(1_000);
        fleet.end();
        return judge(rule);
    }

    private Replica.Behaviour behaviour(boolean faulty, String kind) {
        String bytes = extra(kind);
        Random random = new Random(7);
        return new Replica.Behaviour() {
            @Override
            public synchronized String extra(Http.Message request, int answers, int before) {
                if (!faulty || before == 0 || random.nextDouble() >= SHARE_OF_ANSWERS) {
                    return "";
                }
                extras.incrementAndGet();
                return bytes;
            }

            @Override
            public int status(Http.Message request) {
                return isMissing(request.header("attempt-id")) ? NOT_FOUND : 200;
            }
        };
    }

    private static String extra(String kind) {
        return switch (kind) {
            // A second answer to a request that has been answered: its time in the queue has passed.
            case "refusal" -> "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            // The beginning of a second answer, cut within its first header.
            case "cut" -> "HTTP/1.1 200 OK\r\nContent-Type: text/";
            case "cut-refusal" -> "HTTP/1.1 421 Misdirected Request\r\nContent-Type: text/";
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private static boolean isMissing(String attempt) {
        return "cdef".indexOf(attempt.charAt(attempt.length() - 1)) >= 0;
    }

    private void send(Fleet fleet, long lengthMs) throws InterruptedException {
        long endNs = System.nanoTime() + lengthMs * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            Fleet.Node node = fleet.nodes.get(i % fleet.nodes.size());
            Random random = new Random(i);
            Thread thread = new Thread(() -> send(node, random, endNs));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void send(Fleet.Node node, Random random, long endNs) {
        try (Requester requester = new Requester(node, record)) {
            while (System.nanoTime() < endNs && extras.get() < ENOUGH) {
                String attempt = String.format("%016x", random.nextLong());
                sent.incrementAndGet();
                Http.Message answer =
                        requester.send("POST", Deployment.ONCE + "2f", attempt, 3_000, "", "acknowledge " + attempt);
                if (answer != null) {
                    answers.put(attempt, answer);
                }
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException e) {
            record.line("requester ended: %s", e);
        }
    }

    private int judge(String rule) {
        Set<String> faults = new TreeSet<>();
        runs.forEach((attempt, count) -> {
            if (count.get() > 1) {
                faults.add("TWICE: " + attempt + " may run once at most and ran " + count.get() + " times");
            }
        });
        answers.forEach((attempt, answer) -> judge(attempt, answer, faults));
        long served = answers.values().stream()
                .filter(answer -> answer.status() == 200 || answer.status() == NOT_FOUND)
                .count();
        record.tell(
                "%d requests sent, %d answered by a replica, %d times additional bytes", sent.get(), served, extras.get());
        faults.forEach(fault -> record.tell("%s", fault));
        if (served < sent.get() / 2) {
            return 2;
        }
        return faults.stream().anyMatch(fault -> fault.startsWith(rule + ":")) ? 1 : 0;
    }

    private void judge(String attempt, Http.Message answer, Set<String> faults) {
        String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
        if (answer.status() / 100 == 2 && !body.startsWith("status 200 by ")) {
            faults.add("MIXED: " + attempt + " got " + answer.status() + " with '" + body + "'");
        } else if (answer.status() / 100 == 2 && !body.endsWith(attempt)) {
            faults.add("MIXED: " + attempt + " got the answer of another request: '" + body + "'");
        }
        if (PROMISES.contains(answer.status()) && runs.containsKey(attempt)) {
            faults.add("REFUSED: " + attempt + " got " + answer.status() + " and has run");
        }
    }
}
