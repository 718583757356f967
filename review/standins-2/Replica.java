import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a replica, as PROTOCOL.md describes it. It runs each request that names it, counts the runs of each id, and
 * answers with a stamp, the id and a body that names both. One of the service of model engines answers with a stream.
 */
final class Replica {
    static final String HEALTH = "/health";
    /** The events of a stream. */
    static final int EVENTS = 49;
    private static final Map<Integer, String> REASONS =
            Map.of(200, "OK", 404, "Not Found", 421, "Misdirected Request", 503, "Service Unavailable");

    final String id;
    final String service;
    private final ServerSocket server;
    private final Record record;
    private final Behaviour behaviour;
    private final Map<String, AtomicInteger> runs;
    private final AtomicInteger answers = new AtomicInteger();

    /** What a replica does at an answer. */
    interface Behaviour {
        Behaviour SOUND = new Behaviour() {};

        /** How long the work of a request takes. */
        default long workMs(Http.Message request) {
            return 20;
        }

        /** The pause after each event of a stream. */
        default long pauseMs() {
            return 40;
        }

        /** The status of the answer. */
        default int status(Http.Message request) {
            return 200;
        }

        /**
         * Bytes that belong to no request, sent where the next answer is expected; empty for none.
         *
         * @param answers number of answers of this replica so far
         * @param before number of answers on this channel so far
         */
        default String extra(Http.Message request, int answers, int before) {
            return "";
        }
    }

    private Replica(
            String id,
            String service,
            ServerSocket server,
            Record record,
            Behaviour behaviour,
            Map<String, AtomicInteger> runs) {
        this.id = id;
        this.service = service;
        this.server = server;
        this.record = record;
        this.behaviour = behaviour;
        this.runs = runs;
    }

    /** @param runs the runs of each id, shared by the replicas */
    static Replica start(
            String host,
            String id,
            String service,
            Record record,
            Behaviour behaviour,
            Map<String, AtomicInteger> runs)
            throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 200);
        Replica replica = new Replica(id, service, server, record, behaviour, runs);
        thread(replica::accept);
        return replica;
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** The replica's entry in the store. */
    String entry(String zone, long sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence
                + "}";
    }

    void stop() throws IOException {
        server.close();
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket channel = server.accept();
                thread(() -> serve(channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket channel) {
        int before = 0;
        try (channel) {
            channel.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            for (Http.Message next = Http.read(in); next != null; next = Http.read(in)) {
                if (next.path().equals(HEALTH) || next.path().equals("/-/report")) {
                    write(out, 200, "Instance-Id: " + id + "\r\n", "{}");
                    continue;
                }
                answer(out, next, before++);
            }
        } catch (IOException | InterruptedException e) {
            record.line("replica %s: channel ended: %s", id, e);
        }
    }

    private void answer(OutputStream out, Http.Message request, int before) throws IOException, InterruptedException {
        String attempt = request.header("attempt-id");
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, 421, "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n", "");
            return;
        }
        String extra = behaviour.extra(request, answers.getAndIncrement(), before);
        if (!extra.isEmpty()) {
            record.line("replica %s: bytes that belong to no request, before the answer to %s: %s", id, attempt, shown(extra));
            out.write(extra.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        int run = runs.computeIfAbsent(attempt, missing -> new AtomicInteger()).incrementAndGet();
        record.line("replica %s: runs %s (run %d of it)", id, attempt, run);
        Thread.sleep(behaviour.workMs(request));
        if (service.equals(Deployment.ENGINES)) {
            stream(out, request, attempt);
            return;
        }
        int status = behaviour.status(request);
        String stamp = id + "." + attempt;
        record.line("replica %s: answers %s with %d", id, attempt, status);
        write(
                out,
                status,
                "Attempt-Id: " + attempt + "\r\nResponse-Stamp: " + stamp + "\r\n",
                "status " + status + " by " + id + " to " + attempt);
    }

    /** Streams events with increasing ids, after the one that the request names. */
    private void stream(OutputStream out, Http.Message request, String attempt)
            throws IOException, InterruptedException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + id
                        + "." + attempt + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = request.header("last-event-id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + id + " " + attempt + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(behaviour.pauseMs());
        }
        write(out, "0\r\n\r\n");
        record.line("replica %s: has streamed %s whole", id, attempt);
    }

    static String shown(String bytes) {
        return bytes.replace("\r\n", "|");
    }

    private static void write(OutputStream out, int status, String headers, String body) throws IOException {
        String head = "HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Other")
                + "\r\nContent-Type: text/plain\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n";
        write(out, head + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
