package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.CustomerId;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Callers of a small instance whose I/O threads are behind, on real sockets. */
@Timeout(60)
class UnreadRejectionTest {
    private static final int CALLERS = 200;
    private static final int MANY_CALLERS = 700;
    private static final int MAX_WAITING = 1_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final String BODY = "x".repeat(2_000);
    private static final String REQUEST =
            "POST /any/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;

    private final MetricRegistry metrics = new MetricRegistry();
    /** Time by which the instance's clock is ahead, as after a pause of the process. */
    private final AtomicLong skippedMs = new AtomicLong();

    /** The time at which the instance's clock stands still, 0 if it goes on. */
    private final AtomicLong frozenMs = new AtomicLong();

    private final CountDownLatch caughtUp = new CountDownLatch(1);
    private final List<Socket> open = new ArrayList<>();
    private XnioWorker worker;
    private ForwardServer server;
    private int port;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        server = ForwardServer.start(
                new ForwardServer.Parts(
                        HostPort.of("127.0.0.1", port),
                        Map.of(),
                        CallerOptions.builder().cheapRejections(true).build(),
                        new PlainDecoder(),
                        new FakeRequestSubmitter(),
                        () -> RoutedSettings.NONE,
                        () -> false,
                        () -> 0,
                        this::nowMs,
                        AdmissionOptions.of(360, rejected -> {})),
                worker,
                metrics);
    }

    @AfterEach
    void stop() throws IOException {
        caughtUp.countDown();
        for (Socket socket : open) {
            socket.close();
        }
        server.close();
        worker.shutdownNow();
    }

    /**
     * Guards against callers that get no answer: while the I/O threads were behind, connections waited unread until their
     * callers gave up, or were not established, and nothing told their callers when to return.
     */
    @Test
    void callersOfAnInstanceThatIsBehindAreRejectedAndServedAfterwards() throws IOException {
        holdUp();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(send(REQUEST));
        }
        for (Socket caller : callers) {
            String response = response(caller);
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.contains("\r\nRetry-After: "), response);
            assertTrue(response.contains("\"run\":\"not-run\""), response);
        }
        caughtUp.countDown();
        awaitServed();
    }

    /**
     * Guards against connections that are left in the listen queue, whose age nobody knows, while others wait: their callers
     * gave up before they were accepted, and were told nothing.
     */
    @Test
    void connectionsAreAcceptedHoweverManyWait() throws IOException, InterruptedException {
        holdUp();
        frozenMs.set(System.nanoTime() / 1_000_000 + 60_000);
        for (int i = 0; i < MANY_CALLERS; i++) {
            send(REQUEST);
        }
        awaitGauge("caller.connections_waiting", MANY_CALLERS);
    }

    /** Guards against connections that stay in the listen queue while more wait than can be rejected. */
    @Test
    void oldestConnectionIsRejectedIfTooManyWait() throws IOException, InterruptedException {
        holdUp();
        frozenMs.set(System.nanoTime() / 1_000_000 + 60_000);
        Socket oldest = send(REQUEST);
        awaitGauge("caller.connections_waiting", 1);
        for (int i = 0; i < MAX_WAITING; i++) {
            send(REQUEST);
        }
        assertTrue(response(oldest).startsWith("HTTP/1.1 503 "));
        awaitGauge("caller.connections_waiting", MAX_WAITING);
    }

    /** Guards against requests that were rejected and are counted or told nowhere. */
    @Test
    void rejectedCallersAreCounted() throws IOException {
        holdUp();
        for (int i = 0; i < 5; i++) {
            assertTrue(response(send(REQUEST)).startsWith("HTTP/1.1 503 "));
        }
        awaitCount("caller.connections_rejected", 5);
    }

    /** Guards against a reset that discards the rejection while its caller still sends the request's body. */
    @Test
    void callerThatStillSendsItsBodyReadsTheRejection() throws IOException {
        holdUp();
        Socket caller = send("POST /any/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5000000\r\n\r\nab");
        for (int i = 0; i < 50; i++) {
            caller.getOutputStream().write(BODY.getBytes(StandardCharsets.ISO_8859_1));
        }
        assertTrue(response(caller).startsWith("HTTP/1.1 503 "));
        caller.getOutputStream().write(BODY.getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(-1, caller.getInputStream().read());
    }

    /** Guards against a response to a request that was not sent, which its caller would take for that of a later one. */
    @Test
    void callerThatHasSentNothingIsNotAnswered() throws IOException {
        holdUp();
        Socket silent = send("");
        for (int i = 0; i < 10; i++) {
            assertTrue(response(send(REQUEST)).startsWith("HTTP/1.1 503 "));
        }
        assertEquals(0, silent.getInputStream().available());
        caughtUp.countDown();
        awaitServed();
        silent.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(response(silent).startsWith("HTTP/1.1 503 "));
    }

    /** Guards against a body after the response to HEAD, which has none. */
    @Test
    void rejectionOfHeadHasNoBody() throws IOException {
        holdUp();
        String response = response(send("HEAD /any/ HTTP/1.1\r\nHost: h.example\r\n\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.endsWith("\r\n\r\n (closed)"), response);
    }

    /** Guards against callers that are rejected because the whole process paused, after which nobody is behind. */
    @Test
    void pauseOfTheProcessTurnsNobodyAway() throws IOException {
        CountDownLatch resumed = new CountDownLatch(1);
        holdUp(resumed);
        skippedMs.set(60_000);
        Socket caller = send(REQUEST);
        resumed.countDown();
        assertTrue(response(caller).contains("not-ready"));
        assertEquals(0, metrics.meter("caller.connections_rejected").getCount());
    }

    private long nowMs() {
        long frozen = frozenMs.get();
        return frozen == 0 ? System.nanoTime() / 1_000_000 + skippedMs.get() : frozen;
    }

    private void holdUp() {
        holdUp(caughtUp);
    }

    private void holdUp(CountDownLatch until) {
        worker.getIoThread(0).execute(() -> {
            try {
                until.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** A handled request is rejected as well, because there are no settings, but it is counted. */
    private void awaitServed() throws IOException {
        while (metrics.meter("caller.error.not_ready").getCount() == 0) {
            assertTrue(response(send(REQUEST)).startsWith("HTTP/1.1 503 "));
        }
    }

    private void awaitCount(String meter, long count) {
        while (metrics.meter(meter).getCount() < count) {
            Thread.onSpinWait();
        }
    }

    private void awaitGauge(String name, int value) throws InterruptedException {
        while (!metrics.getGauges().get(name).getValue().equals(value)) {
            Thread.sleep(5);
        }
    }

    private Socket send(String request) throws IOException {
        Socket socket = new Socket();
        open.add(socket);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        OutputStream out = socket.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** The bytes up to the end of the problem body, or what was received before the end or the time-out. */
    private static String response(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            while (received.indexOf("}") < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return received + " (closed)";
                }
                received.append((char) next);
            }
        } catch (SocketTimeoutException e) {
            return received + " (no response)";
        }
        return received.toString();
    }

    private static final class PlainDecoder implements CallDecoder {
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
