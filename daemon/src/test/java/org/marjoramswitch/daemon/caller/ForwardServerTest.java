package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.CustomerId;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ForwardServerTest {
    private static final int MAX_CONNECTIONS = 8;
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final String REQUEST = "GET /any/ HTTP/1.1\r\nHost: h.example\r\n\r\n";

    private final List<Caller> callers = new ArrayList<>();
    private final AtomicLong decisionsLagMs = new AtomicLong();
    private final MetricRegistry metrics = new MetricRegistry();
    private XnioWorker worker;
    private ForwardServer server;
    private int port;

    @BeforeEach
    void start() throws IOException {
        start(AdmissionOptions.NONE);
    }

    private void start(AdmissionOptions admission) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        port = freePort();
        server = ForwardServer.start(
                new ForwardServer.Parts(
                        HostPort.of("127.0.0.1", port),
                        Map.of(),
                        CallerOptions.builder().maxConnections(MAX_CONNECTIONS).build(),
                        new PlainDecoder(),
                        new FakeRequestSubmitter(),
                        () -> RoutedSettings.NONE,
                        () -> false,
                        decisionsLagMs::get,
                        () -> System.nanoTime() / 1_000_000,
                        admission),
                worker,
                metrics);
    }

    @AfterEach
    void stop() throws IOException {
        for (Caller caller : callers) {
            caller.socket().close();
        }
        server.close();
        worker.shutdownNow();
    }

    /**
     * Many callers each open a connection and keep it open after the response. If idle connections could fill the
     * instance's limit, further callers would not be accepted and would time out. Above half of the limit a response
     * therefore closes its connection.
     */
    @Test
    void idleConnectionsDoNotBlockNewCallers() throws IOException {
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            assertEquals("HTTP/1.1 503 Service Unavailable", call().status());
        }
    }

    @Test
    void connectionsBelowTheLimitAreKept() throws IOException {
        Caller first = call();
        assertTrue(first.kept());
        assertEquals("HTTP/1.1 503 Service Unavailable", first.sendAgain().status());
    }

    /**
     * A lagging instance would forward a request only after its caller has disconnected. The caller is therefore
     * rejected immediately with a short retry delay, and its connection is closed so that it chooses another instance.
     */
    @Test
    @Timeout(20)
    void laggingInstanceRejectsCallersAndClosesTheirConnections() throws IOException {
        decisionsLagMs.set(500);
        Caller refused = call();
        while (!refused.head().contains("retry-after: 100\n")) {
            refused = call();
        }
        assertEquals("HTTP/1.1 503 Service Unavailable", refused.status());
        assertFalse(refused.kept());
        decisionsLagMs.set(0);
        Caller later = call();
        while (later.head().contains("retry-after: 100\n")) {
            later = call();
        }
    }

    /** Guards against a listener that stops accepting for good, or ignores the limit of connections. */
    @Test
    @Timeout(20)
    void admissionControlAcceptsCallersAsBefore() throws IOException {
        server.close();
        worker.shutdownNow();
        start(AdmissionOptions.of(360, rejected -> {}));
        decisionsLagMs.set(500);
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            assertEquals("HTTP/1.1 503 Service Unavailable", call().status());
        }
        decisionsLagMs.set(0);
        assertTrue(server.headroomPercent() >= 0);
    }

    /**
     * Guards against closing a connection while a whole request waits unread: an I/O thread runs its timers before it reads
     * its sockets, so on a thread that was held up beyond the idle limit the timer comes first.
     */
    @Test
    @Timeout(20)
    void requestThatArrivesWhileTheThreadIsHeldUpBeyondTheIdleLimitIsAnswered() throws Exception {
        server.applyLimits(new CallerLimits(4_096, 1_000, 60_000, 500));
        Caller caller = call();
        CountDownLatch release = holdThread();
        caller.send(REQUEST);
        awaitElapsed(1_000);
        release.countDown();
        assertEquals("HTTP/1.1 503 Service Unavailable", caller.read().status());
    }

    /** Guards against closing a connection within a head whose remainder waits unread. */
    @Test
    @Timeout(20)
    void headThatArrivesWhileTheThreadIsHeldUpBeyondTheHeadTimeoutIsAnswered() throws Exception {
        server.applyLimits(new CallerLimits(4_096, 1_000, 500, 60_000));
        Caller caller = call();
        caller.send(REQUEST.substring(0, 10));
        awaitElapsed(100);
        CountDownLatch release = holdThread();
        caller.send(REQUEST.substring(10));
        awaitElapsed(1_000);
        release.countDown();
        assertEquals("HTTP/1.1 503 Service Unavailable", caller.read().status());
    }

    /** Guards against idle connections that are never closed, or only those that were opened later. */
    @Test
    @Timeout(20)
    void idleConnectionsAreClosed() throws Exception {
        server.applyLimits(new CallerLimits(4_096, 1_000, 60_000, 300));
        Caller used = call();
        try (Socket unused = new Socket(InetAddress.getLoopbackAddress(), port)) {
            unused.setSoTimeout(READ_TIMEOUT_MS);
            assertEquals(-1, unused.getInputStream().read());
        }
        assertEquals(-1, used.in().read());
    }

    /** Guards against connections that stay open within a head, each of which takes one of the instance's limit. */
    @Test
    @Timeout(20)
    void connectionWhoseHeadDoesNotArriveInTimeIsClosed() throws Exception {
        server.applyLimits(new CallerLimits(4_096, 1_000, 300, 60_000));
        Caller caller = call();
        caller.send(REQUEST.substring(0, 10));
        assertEquals(-1, caller.in().read());
    }

    /** Guards against ends of connections that leave no trace, and against a log line for each idle connection. */
    @Test
    @Timeout(20)
    void endsOfConnectionsAreCountedByCause() throws Exception {
        server.applyLimits(new CallerLimits(4_096, 1_000, 300, 60_000));
        call().socket().close();
        awaitEnds("ended.caller_closed", 1);
        Caller incomplete = call();
        incomplete.send(REQUEST.substring(0, 10));
        awaitEnds("ended_unanswered.head_timeout", 1);
        Caller gone = call();
        gone.send(REQUEST.substring(0, 10));
        awaitElapsed(100);
        gone.socket().close();
        awaitEnds("ended_unanswered.caller_closed", 1);
        server.applyLimits(new CallerLimits(4_096, 1_000, 300, 300));
        call();
        awaitElapsed(RecentLimits.NOTICE_MS);
        call();
        awaitEnds("ended.idle_limit", 1);
        assertEquals(0, ends("ended_unanswered.idle_limit"));
    }

    private void awaitEnds(String name, long least) throws InterruptedException {
        Fixture.await(() -> ends(name) >= least);
    }

    private long ends(String name) {
        return metrics.counter("caller.connections_" + name).getCount();
    }

    /** Holds up the server's only I/O thread until the latch is released; returns once it is held up. */
    private CountDownLatch holdThread() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            held.countDown();
            awaitRelease(release);
        });
        held.await();
        return release;
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lets a timeout of the server elapse. */
    private static void awaitElapsed(long elapsedMs) throws InterruptedException {
        long sinceNs = System.nanoTime();
        while (System.nanoTime() - sinceNs < elapsedMs * 1_000_000) {
            Thread.sleep(5);
        }
    }

    private Caller call() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        Caller caller = new Caller(socket, in, "", "").sendAgain();
        callers.add(caller);
        if (!caller.kept()) {
            socket.close();
        }
        return caller;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** A connection and the head of its latest response. */
    private record Caller(Socket socket, BufferedReader in, String status, String head) {
        Caller sendAgain() throws IOException {
            send(REQUEST);
            return read();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Caller read() throws IOException {
            String first = in.readLine();
            StringBuilder rest = new StringBuilder();
            int length = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                rest.append(line.toLowerCase(Locale.ROOT)).append('\n');
                if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            for (int i = 0; i < length; i++) {
                in.read();
            }
            return new Caller(socket, in, String.valueOf(first), rest.toString());
        }

        boolean kept() {
            return !head.contains("connection: close");
        }
    }

    static final class PlainDecoder implements CallDecoder {
        @Override
        public CallMetadata read(Map<String, String> headers) {
            return new CallMetadata("", 0, List.of(), 0, 0, "", "");
        }

        @Override
        public Map<String, String> forTarget(Map<String, String> headers, @Nullable CustomerId customer) {
            assertNull(customer);
            return headers;
        }

        @Override
        public String retryAfter(long retryAfterMs) {
            return Long.toString(retryAfterMs);
        }
    }
}
