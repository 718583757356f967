package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/** The accepting thread on real sockets, in virtual time that each of its rounds advances by {@link #ROUND_MS}. */
@Timeout(60)
class CallerAcceptorTest {
    private static final long ROUND_MS = 5;
    private static final long MAX_WAIT_MS = 100;
    private static final int MAX_CONNECTIONS = 2_500;
    /** So small that some 100 connections a second are rejected, and 200 while rejections are late. */
    private static final int MILLICORES = 40;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_TIMEOUT_MS = 20_000;

    private final MetricRegistry metrics = new MetricRegistry();
    private final AtomicLong nowMs = new AtomicLong();
    private final AtomicLong stopAtMs = new AtomicLong();
    private final AtomicInteger rounds = new AtomicInteger();
    /** For each connection that was handed over, whether it may still be taken. */
    private final Queue<BooleanSupplier> handedOver = new ConcurrentLinkedQueue<>();

    private final List<Socket> open = new ArrayList<>();
    private final List<String> servedCustomers = new CopyOnWriteArrayList<>();
    private volatile String prefetched = "";
    private volatile boolean acceptable;
    private CallerAcceptor acceptor;
    private int port;

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
        acceptor.close();
    }

    /**
     * Guards against requests that wait in the line for as long as their callers do, where the limits of rejections do not
     * suffice to reject them in time.
     */
    @Test
    void noConnectionWaitsLongerThanCallersOfUnreadRequests() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        for (int i = 0; i < 200; i++) {
            send();
        }
        await(() -> waiting() == 200);
        advanceTo(600);
        assertEquals(0, waiting());
    }

    /** Guards against connections that stay in the listen queue because older ones use the last places. */
    @Test
    void newestConnectionsAreAcceptedWhileOlderOnesWaitForTheLastPlaces() throws IOException, InterruptedException {
        start(10);
        for (int i = 0; i < 30; i++) {
            send();
        }
        await(() -> waiting() == 10);
        for (Socket rejected : open.subList(0, 20)) {
            assertEquals('H', rejected.getInputStream().read());
        }
    }

    /**
     * Guards against connections that were handed over and are served after their callers have left, since newer ones use
     * all of the processor time for rejections.
     */
    @Test
    void connectionsThatNoThreadTakesAreRejectedBeforeNewerOnes() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        acceptable = true;
        for (int i = 0; i < 20; i++) {
            send();
        }
        await(() -> handedOver.size() == 20);
        acceptable = false;
        for (int i = 0; i < 200; i++) {
            send();
        }
        await(() -> waiting() == 200);
        advanceTo(400);
        for (BooleanSupplier take : handedOver) {
            assertFalse(take.getAsBoolean(), "may still be served after 400 ms");
        }
    }

    /** Guards against connections that are served after their callers have left, where many were handed over at once. */
    @Test
    void connectionsThatNoThreadTakesAreRejectedInTime() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        acceptable = true;
        for (int i = 0; i < 200; i++) {
            send();
        }
        await(() -> handedOver.size() == 200);
        advanceTo(600);
        for (BooleanSupplier take : handedOver) {
            assertFalse(take.getAsBoolean(), "may still be served after 600 ms");
        }
    }

    /** Guards against shares of an overloaded instance in proportion to the connections that customers open. */
    @Test
    void customersWithFewConnectionsAreServedAsOftenAsThoseWithMany() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        for (int i = 0; i < 80; i++) {
            send(i % 10 == 0 ? "few" : "many");
        }
        await(() -> waiting() == 80);
        acceptable = true;
        advanceTo(MAX_WAIT_MS - ROUND_MS);
        assertEquals(List.of("few", "many", "few", "many"), servedCustomers.subList(0, 4));
        assertEquals(servedCustomers.size() / 2.0, Collections.frequency(servedCustomers, "few"), 1);
    }

    /** Guards against a request that loses the bytes by which its customer was recognized. */
    @Test
    void bytesThatWereReadAheadAreHandedOver() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        send("few");
        await(() -> waiting() == 1);
        acceptable = true;
        advanceTo(MAX_WAIT_MS - ROUND_MS);
        await(() -> !handedOver.isEmpty());
        assertEquals(request("few"), prefetched);
    }

    /** Guards against the processor time of connections that stay open after their request was rejected. */
    @Test
    void connectionIsClosedAfterItsCompleteRequestWasRejected() throws IOException, InterruptedException {
        start(MAX_CONNECTIONS);
        Socket complete = connect();
        complete.getOutputStream().write((request("a") + "b").getBytes(StandardCharsets.ISO_8859_1));
        Socket incomplete = send("a");
        await(() -> waiting() == 2);
        advanceTo(600);
        String response = new String(complete.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.endsWith("}"), response);
        assertEquals(response.length(), incomplete.getInputStream().readNBytes(response.length()).length);
        incomplete.getOutputStream().write('b');
        assertEquals(-1, incomplete.getInputStream().read());
    }

    private void start(int maxConnections) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        acceptor = CallerAcceptor.open(
                HostPort.of("127.0.0.1", port),
                new CallerAcceptor.Parts(
                        maxConnections,
                        MILLICORES,
                        UnreadHeadParser.of(Set.of()),
                        CallerAcceptorTest::requestOf,
                        customers -> acceptable ? next(customers) : null,
                        () -> acceptable,
                        () -> MAX_WAIT_MS,
                        this::serve,
                        PreparedRejections.create(new SecondsDecoder()),
                        UnreadRejectionReport.create(metrics, (known, unknown) -> {}),
                        AcceptReport.create(metrics),
                        this::clockMs));
    }

    private static AdmissionRequest requestOf(UnreadHead head) {
        CustomerId customer = CustomerId.of(Objects.requireNonNullElse(head.authorization(), "-"));
        return new AdmissionRequest(customer, PoolId.of("pool"), "kind", 1, 500, 800, 6_000);
    }

    private void serve(WaitingConnection connection, Runnable onClosed) {
        prefetched = new String(connection.prefetched(), StandardCharsets.ISO_8859_1);
        handedOver.add(connection::take);
    }

    /** Selects the customer that was selected least often. */
    private CustomerId next(Collection<CustomerId> customers) {
        CustomerId least = customers.stream()
                .min(Comparator.comparingInt(
                                (CustomerId customer) -> Collections.frequency(servedCustomers, customer.name()))
                        .thenComparing(CustomerId::name))
                .orElseThrow();
        servedCustomers.add(least.name());
        return least;
    }

    private long clockMs() {
        rounds.incrementAndGet();
        return nowMs.updateAndGet(ms -> Math.min(stopAtMs.get(), ms + ROUND_MS));
    }

    /** Returns after the first whole round at this time. Some connection must be open, so that there are rounds. */
    private void advanceTo(long ms) throws InterruptedException {
        stopAtMs.set(ms);
        await(() -> nowMs.get() == ms);
        int reached = rounds.get();
        await(() -> rounds.get() >= reached + 2);
    }

    private int waiting() {
        return (Integer) metrics.getGauges().get("caller.connections_waiting").getValue();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(1);
        }
    }

    private void send() throws IOException {
        send("any");
    }

    private Socket send(String customer) throws IOException {
        Socket socket = connect();
        socket.getOutputStream().write(request(customer).getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        open.add(socket);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        return socket;
    }

    /** Without its body, so that the connection stays open after a rejection and there are rounds. */
    private static String request(String customer) {
        return "POST /any/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: " + customer + "\r\nContent-Length: 1\r\n\r\n";
    }

    private static final class SecondsDecoder implements CallDecoder {
        @Override
        public CallMetadata read(Map<String, String> headers) {
            return new CallMetadata("", 0, List.of(), 0, 0, "", "");
        }

        @Override
        public Map<String, String> forTarget(Map<String, String> headers, @Nullable CustomerId customer) {
            return headers;
        }

        @Override
        public String retryAfter(long retryAfterMs) {
            return Long.toString(retryAfterMs);
        }
    }
}
