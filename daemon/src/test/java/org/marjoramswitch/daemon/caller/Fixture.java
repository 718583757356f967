package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;

/** Caller server on a free port with a fake request submitter, two customers, a model and a plain service. */
final class Fixture implements AutoCloseable {
    static final String KEY_ONE = "key-one";
    static final String KEY_TWO = "key-two";
    static final CustomerId ONE = CustomerId.of("one");
    static final PoolId MODEL = PoolId.of("atelier-llm");
    static final PoolId SERVICE = PoolId.of("cell-gateway");
    static final String CHAT = "{\"model\":\"atelier-llm\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    static final String CHAT_STREAM = CHAT.replace("{\"model\"", "{\"stream\":true,\"model\"");
    static final long INCARNATION = 7;
    private static final int SOCKET_TIMEOUT_MS = 10_000;

    final FakeRequestSubmitter submitter = new FakeRequestSubmitter();
    final MetricRegistry metrics = new MetricRegistry();
    final HttpClient client = HttpClient.newHttpClient();
    volatile FleetSettings settings = settings();
    volatile Health health = Health.READY;
    /** Runs on the I/O thread of each request, before the health is queried. */
    volatile Runnable beforeHealth = () -> {};

    private final Addresses addresses = new Addresses();
    final RequestKeys keys;
    final CallerServer server;

    private Fixture(String instance, CallerOptions options, FakePeers peers, Claims claims) {
        LongSupplier clockMs = () -> System.nanoTime() / 1_000_000;
        Member self = Member.of(InstanceId.of(instance), INCARNATION, DataCentreId.of("hall"), false);
        keys = RequestKeys.create(self, options, peers.from(self.id()), addresses, clockMs, System::currentTimeMillis);
        server = CallerServer.start(
                HostPort.of("127.0.0.1", 0),
                options,
                submitter,
                keys,
                claims,
                addresses,
                () -> settings,
                this::health,
                clockMs,
                metrics);
        peers.join(self.id(), INCARNATION, keys, server.boundAddress());
        addresses.peers = peers;
    }

    private Health health() {
        beforeHealth.run();
        return health;
    }

    static Fixture start(CallerOptions options) {
        return new Fixture("a", options, new FakePeers(), Claims.NONE);
    }

    static Fixture start(String instance, CallerOptions options, FakePeers peers, Claims claims) {
        return new Fixture(instance, options, peers, claims);
    }

    /** Returns a request key whose home is this instance. */
    String key(String suffix) {
        return keys.prefix(keys.self(), INCARNATION) + suffix;
    }

    private static FleetSettings settings() {
        CustomerSettings one = new CustomerSettings(ONE, "team", 1, Set.of(Sha256.hex(KEY_ONE)), 100);
        CustomerId two = CustomerId.of("two");
        return FleetSettings.of(
                1,
                Map.of(ONE, one, two, new CustomerSettings(two, "team", 1, Set.of(Sha256.hex(KEY_TWO)), 100)),
                Map.of(MODEL, PoolSettings.modelEngines(MODEL), SERVICE, PoolSettings.plainServices(SERVICE)),
                Map.of());
    }

    /** Four eligible instances. */
    private static final class Addresses implements InstanceDirectory {
        private volatile FakePeers peers = new FakePeers();

        @Override
        public @Nullable HostPort address(InstanceId instance) {
            return peers.address(instance);
        }

        @Override
        public List<Entry> eligible() {
            return List.of(entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4));
        }

        private static Entry entry(String name, int port) {
            return new Entry(InstanceId.of(name), 7, HostPort.of("127.0.0.1", port));
        }

        @Override
        public double loadFactor(CustomerId customer) {
            return customer.equals(ONE) ? 1 : 2;
        }
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.boundAddress() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + KEY_ONE);
    }

    HttpRequest chat(String body, UnaryOperator<HttpRequest.Builder> more) {
        return more.apply(request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)))
                .build();
    }

    /** Opens a raw connection that the test reads and writes. */
    Socket connect() throws IOException {
        HostPort address = server.boundAddress();
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        return socket;
    }

    static String rawHead(String method, String path, String... headers) {
        StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\nHost: x\r\n");
        head.append("Authorization: Bearer ").append(KEY_ONE).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads until the text has arrived; fails at the end of input. */
    static String readUntil(Socket socket, String text) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (!read.toString(StandardCharsets.UTF_8).contains(text)) {
            int next = in.read();
            if (next < 0) {
                throw new AssertionError("ended after: " + read.toString(StandardCharsets.UTF_8));
            }
            read.write(next);
        }
        return read.toString(StandardCharsets.UTF_8);
    }

    /** Reads until the server closes the connection. */
    static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(read);
        } catch (SocketTimeoutException e) {
            throw new AssertionError("still open after: " + read.toString(StandardCharsets.UTF_8), e);
        }
        return read.toString(StandardCharsets.UTF_8);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + SOCKET_TIMEOUT_MS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("the condition was not met in time");
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
