package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.Route.PoolShare;
import org.marjoramswitch.daemon.route.RouteKind;
import org.marjoramswitch.daemon.route.RouteTable;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Checks of callers whose connections belong to an I/O thread that is busy. */
class CallerCheckTest {
    private static final String REQUEST = "GET /any/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
    /** Long enough for a part of a request to arrive by itself. */
    private static final long PART_INTERVAL_MS = 200;

    private static final PoolId POOL = PoolId.of("pool");

    private final FakeRequestSubmitter submitter = new FakeRequestSubmitter();
    private XnioWorker worker;
    private ForwardServer server;
    private int port;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        port = freePort();
        server = ForwardServer.start(
                new ForwardServer.Parts(
                        HostPort.of("127.0.0.1", port),
                        Map.of(),
                        CallerOptions.defaults(),
                        new ForwardServerTest.PlainDecoder(),
                        submitter,
                        CallerCheckTest::settings,
                        () -> false,
                        () -> 0,
                        () -> System.nanoTime() / 1_000_000,
                        AdmissionOptions.NONE),
                worker,
                new MetricRegistry());
    }

    @AfterEach
    void stop() {
        server.close();
        worker.shutdownNow();
    }

    /** Guards against a send by another thread while the caller's close lies unread because its own thread is busy. */
    @Test
    @Timeout(20)
    void closeThatLiesUnreadIsSeenByAnotherThread() throws Exception {
        Socket caller = connect();
        FakeRequestSubmitter.Submitted request = submitter.next();
        CountDownLatch busy = new CountDownLatch(1);
        worker.getIoThread().execute(() -> await(busy));
        caller.close();
        CompletableFuture<Boolean> gone = new CompletableFuture<>();
        request.response().checkCaller(gone::complete);
        busy.countDown();
        assertTrue(gone.get(10, TimeUnit.SECONDS));
    }

    /** Guards against taking a caller for gone whose connection is open. */
    @Test
    @Timeout(20)
    void connectedCallerIsNotGone() throws Exception {
        try (Socket caller = connect()) {
            FakeRequestSubmitter.Submitted request = submitter.next();
            CompletableFuture<Boolean> gone = new CompletableFuture<>();
            request.response().checkCaller(gone::complete);
            assertFalse(gone.get(10, TimeUnit.SECONDS));
            assertTrue(caller.isConnected());
        }
    }

    /** Guards against a pipelined request whose parts are put back in the wrong order when its caller is checked again. */
    @Test
    @Timeout(20)
    void nextRequestThatArrivesInPartsBetweenChecksIsKeptInOrder() throws Exception {
        assertEquals("/any/second-request", pathOfRequestThatArrivesInParts(true));
    }

    /** Guards against losing a pipelined request that arrives in parts. */
    @Test
    @Timeout(20)
    void nextRequestThatArrivesInPartsIsKept() throws Exception {
        assertEquals("/any/second-request", pathOfRequestThatArrivesInParts(false));
    }

    private String pathOfRequestThatArrivesInParts(boolean checked) throws Exception {
        try (Socket caller = connect()) {
            FakeRequestSubmitter.Submitted first = submitter.next();
            String next = REQUEST.replace("/any/", "/any/second-request");
            for (String part : List.of(next.substring(0, 12), next.substring(12))) {
                caller.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(PART_INTERVAL_MS);
                CompletableFuture<Boolean> gone = new CompletableFuture<>();
                if (checked) {
                    first.response().checkCaller(gone::complete);
                    assertFalse(gone.get(10, TimeUnit.SECONDS));
                }
            }
            first.respond(200, "text/plain", "first");
            return submitter.next().call().path();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static RoutedSettings settings() {
        Route route = new Route(
                "any",
                "h.example",
                "/any/",
                RouteKind.IDEMPOTENT,
                List.of(new PoolShare(POOL, 1)),
                2,
                5_000,
                400,
                0,
                1,
                true);
        return new RoutedSettings(
                1,
                RouteTable.of(List.of(route)),
                Map.of(POOL, PoolSettings.plainServices(POOL)),
                Map.of(),
                Map.of(),
                Map.of(),
                false,
                CallerLimits.DEFAULT);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
