import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, of replicas and of requesters, and the processes of the deploy file. */
final class StandIns {
    private StandIns() {}

    /** Writes what was sent, answered and run, with the milliseconds since the start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long startNs = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        long ms() {
            return (System.nanoTime() - startNs) / 1_000_000;
        }

        synchronized void add(String line) {
            out.println(ms() + " " + line);
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** A request or response: the start line, headers in lower case, the body. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        /** For responses: whether the body ended as its framing says. */
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads the head of a message; null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.start = line;
        while (true) {
            line = readLine(in);
            if (line == null) {
                throw new EOFException("within a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Reads the body that the head announces; a response without framing ends with its connection. */
    static void readBody(Message message, InputStream in, boolean isResponse) throws IOException {
        if (message.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("within chunks");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                message.body = body.toByteArray();
                if (length == 0) {
                    break;
                }
            }
        } else if (message.headers.containsKey("content-length")) {
            message.body = readExactly(in, Integer.parseInt(message.header("content-length")));
        } else if (isResponse) {
            message.body = in.readAllBytes();
        }
        message.complete = true;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static ServerSocket listen(String host) throws IOException {
        return new ServerSocket(0, 500, InetAddress.getByName(host));
    }

    /** Handles one connection until it ends. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    static void serve(ServerSocket server, ConnectionHandler handler) {
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (IOException ended) {
                            return;
                        }
                    });
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    /** The platform's store: items with revisions and leases, pages, long-poll watches, transactions. */
    static final class Store {
        private static final class Item {
            String key;
            String value;
            long revision;
            long created;
            long lease;
            boolean deleted;

            String json() {
                if (deleted) {
                    return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
                }
                return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
                        + ",\"created\":" + created + ",\"lease\":" + lease + "}";
            }
        }

        private static final int PAGE_ITEMS = 500;
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private final Map<Long, long[]> leases = new TreeMap<>();
        private final ServerSocket server;
        private long revision = 100;
        private long lastLease = 1_000;
        /** Calls from these source addresses are answered with 503. */
        final java.util.Set<String> refused = ConcurrentHashMap.newKeySet();

        Store(String host) throws IOException {
            server = listen(host);
            serve(server, this::connection);
            daemon(() -> {
                while (true) {
                    pause(50);
                    expire();
                }
            });
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        /** Writes a value as the operator or a replica does; returns once it is acknowledged. */
        synchronized void put(String key, String value) {
            write(key, Base64.getEncoder().encodeToString(bytes(value)), 0);
            notifyAll();
        }

        synchronized void remove(String key) {
            delete(key);
            notifyAll();
        }

        synchronized List<String> keys(String prefix) {
            return new ArrayList<>(items.subMap(prefix, prefix + '\uffff').keySet());
        }

        private void write(String key, String value, long lease) {
            revision++;
            Item item = new Item();
            item.key = key;
            item.value = value;
            item.revision = revision;
            Item before = items.get(key);
            item.created = before == null ? revision : before.created;
            item.lease = lease;
            items.put(key, item);
            history.add(item);
        }

        private void delete(String key) {
            if (items.remove(key) == null) {
                return;
            }
            revision++;
            Item gone = new Item();
            gone.key = key;
            gone.revision = revision;
            gone.deleted = true;
            history.add(gone);
        }

        private synchronized void expire() {
            long now = System.nanoTime();
            boolean changed = false;
            for (Map.Entry<Long, long[]> lease : new ArrayList<>(leases.entrySet())) {
                if (lease.getValue()[0] - now < 0) {
                    leases.remove(lease.getKey());
                    for (Item item : new ArrayList<>(items.values())) {
                        if (item.lease == lease.getKey()) {
                            delete(item.key);
                            changed = true;
                        }
                    }
                }
            }
            if (changed) {
                notifyAll();
            }
        }

        private void connection(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message call = readHead(in);
                if (call == null) {
                    return;
                }
                readBody(call, in, false);
                String[] answer = refused.contains(socket.getInetAddress().getHostAddress())
                        ? new String[] {"503", "{}"}
                        : answer(call);
                byte[] body = bytes(answer[1]);
                out.write(bytes("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        }

        private String[] answer(Message call) {
            String[] line = call.start.split(" ");
            String path = line[1].contains("?") ? line[1].substring(0, line[1].indexOf('?')) : line[1];
            Map<String, String> query = new TreeMap<>();
            if (line[1].contains("?")) {
                for (String part : line[1].substring(line[1].indexOf('?') + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), java.net.URLDecoder.decode(
                            part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            String body = new String(call.body, StandardCharsets.UTF_8);
            if (path.equals("/-/kv-range")) {
                return range(query.get("path_prefix"), query.getOrDefault("after", ""));
            }
            if (path.equals("/-/kv-key")) {
                return key(query.get("key"));
            }
            if (path.equals("/-/kv-watch")) {
                return watch(
                        query.get("path_prefix"),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait_ms")));
            }
            if (path.equals("/-/kv-txn")) {
                return transact(body);
            }
            if (path.equals("/-/kv-lease")) {
                return lease(Long.parseLong(group(body, "\"ttl_ms\":(\\d+)")));
            }
            long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            return path.startsWith("/-/kv-keep/") ? keep(lease) : endLease(lease);
        }

        private synchronized String[] range(String prefix, String after) {
            StringBuilder found = new StringBuilder();
            int count = 0;
            boolean more = false;
            for (Item item : items.values()) {
                if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) {
                    if (count == PAGE_ITEMS) {
                        more = true;
                        break;
                    }
                    found.append(count++ == 0 ? "" : ",").append(item.json());
                }
            }
            return new String[] {
                "200", "{\"items\":[" + found + "],\"has_more\":" + more + ",\"store_revision\":" + revision + "}"
            };
        }

        private synchronized String[] key(String key) {
            Item item = items.get(key);
            if (item == null) {
                return new String[] {"404", "{\"store_revision\":" + revision + "}"};
            }
            String json = item.json();
            return new String[] {
                "200", json.substring(0, json.length() - 1) + ",\"store_revision\":" + revision + "}"
            };
        }

        private synchronized String[] watch(String prefix, long after, long waitMs) {
            long until = System.nanoTime() + waitMs * 1_000_000;
            while (true) {
                StringBuilder events = new StringBuilder();
                for (Item item : history) {
                    if (item.revision > after && item.key.startsWith(prefix)) {
                        events.append(events.length() == 0 ? "" : ",").append(item.json());
                    }
                }
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (events.length() > 0 || leftMs <= 0) {
                    return new String[] {"200", "{\"events\":[" + events + "],\"store_revision\":" + revision + "}"};
                }
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private synchronized String[] transact(String body) {
            Matcher expected = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(body);
            while (expected.find()) {
                Item item = items.get(expected.group(1));
                if ((item == null ? 0 : item.revision) != Long.parseLong(expected.group(2))) {
                    return new String[] {"412", "{\"items\":[]}"};
                }
            }
            Matcher put = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}")
                    .matcher(body);
            List<String[]> puts = new ArrayList<>();
            while (put.find()) {
                if (!put.group(3).equals("0") && !leases.containsKey(Long.parseLong(put.group(3)))) {
                    return new String[] {"404", "{}"};
                }
                puts.add(new String[] {put.group(1), put.group(2), put.group(3)});
            }
            puts.forEach(each -> write(each[0], each[1], Long.parseLong(each[2])));
            Matcher removed = Pattern.compile("\"([^\"]+)\"").matcher(body.substring(body.indexOf("\"remove\"") + 8));
            while (removed.find()) {
                delete(removed.group(1));
            }
            notifyAll();
            return new String[] {"200", "{\"revision\":" + revision + "}"};
        }

        private synchronized String[] lease(long ttlMs) {
            leases.put(++lastLease, new long[] {System.nanoTime() + ttlMs * 1_000_000, ttlMs});
            return new String[] {"200", "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttlMs + "}"};
        }

        private synchronized String[] keep(long id) {
            long[] lease = leases.get(id);
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            lease[0] = System.nanoTime() + lease[1] * 1_000_000;
            return new String[] {"200", "{\"ttl_ms\":" + lease[1] + "}"};
        }

        private synchronized String[] endLease(long id) {
            boolean known = leases.containsKey(id);
            if (known) {
                leases.get(id)[0] = System.nanoTime() - 1;
            }
            return new String[] {known ? "200" : "404", "{}"};
        }
    }

    static String group(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IllegalArgumentException(pattern);
        }
        return matcher.group(1);
    }

    /** What a replica does with a request that it has read. */
    interface Work {
        void run(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A replica of a service. */
    static final class Replica {
        final String id;
        final String service;
        final String zone;
        final int slots;
        private final ServerSocket server;
        private final Record record;
        private final java.util.concurrent.Semaphore free;
        private final java.util.Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile Work work;
        /** Bytes of a body that are read in a millisecond. */
        volatile int readBytesPerMs = Integer.MAX_VALUE;

        Replica(String id, String service, String zone, int slots, String host, Record record, Work work)
                throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.record = record;
            this.work = work;
            this.free = new java.util.concurrent.Semaphore(slots);
            this.server = listen(host);
            serve(server, socket -> {
                open.add(socket);
                try {
                    connection(socket);
                } finally {
                    open.remove(socket);
                }
            });
        }

        /** Closes the address and all connections at once, as the end of a process does; false if it has crashed before. */
        synchronized boolean crash() {
            if (server.isClosed()) {
                return false;
            }
            try {
                server.close();
                for (Socket socket : open) {
                    socket.close();
                }
            } catch (IOException e) {
                record.add("crash of " + id + ": " + e);
            }
            return true;
        }

        String entry(String state) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":"
                    + server.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                    + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
        }

        private void connection(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = readHead(in);
                if (request == null) {
                    return;
                }
                readSlowly(request, in);
                String attempt = request.header("attempt-id");
                String path = request.start.split(" ")[1];
                if (path.equals("/health")) {
                    out.write(bytes("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                if (path.equals("/-/report")) {
                    out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
                    continue;
                }
                String expected = request.header("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                if (!free.tryAcquire()) {
                    out.write(bytes("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                try {
                    record.add("run " + id + " " + attempt + " " + request.start + " body=" + request.body.length);
                    work.run(request, socket, out);
                    out.flush();
                } finally {
                    free.release();
                }
            }
        }

        private void readSlowly(Message request, InputStream in) throws IOException {
            int left = request.headers.containsKey("content-length")
                    ? Integer.parseInt(request.header("content-length"))
                    : 0;
            if (left == 0 || readBytesPerMs == Integer.MAX_VALUE) {
                readBody(request, in, false);
                return;
            }
            byte[] body = new byte[left];
            int at = 0;
            while (at < body.length) {
                int count = in.read(body, at, Math.min(body.length - at, 10 * readBytesPerMs));
                if (count < 0) {
                    throw new EOFException("within a body");
                }
                at += count;
                pause(Math.max(1, count / readBytesPerMs));
            }
            request.body = body;
        }
    }

    /** Answers with a small body after some time. */
    static Work answerAfter(long ms) {
        return (request, socket, out) -> {
            pause(ms);
            byte[] body = bytes("done " + request.header("attempt-id"));
            out.write(bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id")
                    + "\r\nResponse-Stamp: s-" + request.header("attempt-id") + "\r\nContent-Length: " + body.length
                    + "\r\n\r\n"));
            out.write(body);
        };
    }

    /** A process of the deploy file, with a settings file in a temporary folder. */
    static final class Node {
        final String name;
        final String ip;
        final int frontend;
        final int ready;
        private final Path settings;
        private final Path log;
        private final Path root;
        private Process process;

        Node(Path root, Path folder, String name, String ip, String zone, String[] zones, String store)
                throws IOException {
            this.root = root;
            this.name = name;
            this.ip = ip;
            this.frontend = freePort(ip);
            this.ready = freePort(ip);
            int directory = freePort(ip);
            int control = freePort(ip);
            this.settings = folder.resolve(name + ".json");
            this.log = folder.resolve(name + ".log");
            StringBuilder regions = new StringBuilder();
            for (String each : zones) {
                regions.append(regions.length() == 0 ? "" : ",").append("\"" + each + "\":\"leith\"");
            }
            Files.writeString(
                    settings,
                    "{\"node_name\":\"" + name + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":[\"edge\","
                            + "\"directory\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"leith\","
                            + "\"zones\":{" + regions + "},\"listen\":{\"frontend\":\"" + ip + ":" + frontend
                            + "\",\"ready\":\"" + ip + ":" + ready + "\",\"control_plane\":\"" + ip + ":" + control
                            + "\",\"directory\":\"" + ip + ":" + directory + "\"},\"internal_port_range\":[7400,7415],"
                            + "\"seed_nodes\":[],\"bootstrap\":true,\"failure_counted\":false,"
                            + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":280,\"max_fds\":4100,"
                            + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
                            + "\"entry\":\"directory\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
                            + "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],"
                            + "\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
                            + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,"
                            + "\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
                            + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_extension_ms\":5000,"
                            + "\"revoke_strict\":false,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
                            + "\"budget_window_s\":10,\"budget_slack\":58,\"recovery_s\":12,\"delivery_delay_ms\":120,"
                            + "\"reuse_window_s\":9,\"quota_window_s\":4,\"ttl_max_s\":5},\"platform\":{\"address\":\""
                            + store + "\",\"form\":\"kv\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                            + "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}");
        }

        /** Starts the process with the line {@code run} of the deploy file. */
        void start() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            List<String> command = new ArrayList<>(List.of(group(deploy, "(?m)^run = \"(.*)\"$").split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("MARJORAMSWITCH_NODE_FILE", settings.toString());
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        Path log() {
            return log;
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }

        boolean isReady() {
            try (Socket socket = connect(ip, ready, 500)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(bytes("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Message answer = readHead(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300 && isAlive(); i++) {
                if (isReady()) {
                    return;
                }
                pause(100);
            }
            throw new IllegalStateException(name + " is not ready");
        }
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(String ip, int port, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(ip, port), timeoutMs);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** One requester's channel. */
    static final class Channel implements AutoCloseable {
        private Socket socket;
        private InputStream in;
        private OutputStream out;
        private boolean used;

        Channel(Node node) throws IOException {
            reopen(node);
        }

        /** Closes the channel, if it is open, and opens another one. */
        void reopen(Node node) throws IOException {
            if (socket != null) {
                socket.close();
            }
            used = false;
            socket = connect(node.ip, node.frontend, 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Socket socket() {
            return socket;
        }

        void send(String method, String path, String host, String attempt, String key, long deadlineMs, String more,
                byte[] body) throws IOException {
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                    + "\r\nDeadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n" + more
                    + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            out.write(bytes(head));
            out.write(body);
            out.flush();
        }

        /** As {@link #send}; returns early if the channel no longer takes the body, since an answer may have arrived. */
        void sendOrAnswered(String method, String path, String host, String attempt, String key, long deadlineMs,
                String more, byte[] body) {
            try {
                send(method, path, host, attempt, key, deadlineMs, more, body);
            } catch (IOException closedForWrites) {
                return;
            }
        }

        /** Reads the whole answer; throws if the channel ends before it. */
        Message receive(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            Message answer = readHead(in);
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            readBody(answer, in, true);
            used = true;
            return answer;
        }

        /** Whether a request was answered on this channel before. */
        boolean used() {
            return used;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
