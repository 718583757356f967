package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Raw input that no well-behaved client sends. */
class RawInputTest {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final int HEAD_TIMEOUT_MS = 200;
    private static final int IDLE_TIMEOUT_MS = 300;

    private final Fixture fixture = Fixture.start(CallerOptions.builder()
            .maxRequests(1)
            .times(new CallerOptions.Times(HEAD_TIMEOUT_MS, 500, IDLE_TIMEOUT_MS, 50, 30_000, 10_000, 1_000))
            .build());

    @AfterEach
    void close() {
        fixture.close();
    }

    private String responseTo(String input) throws IOException {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, input);
            return Fixture.readAll(socket);
        }
    }

    static Stream<String> notHttp() {
        return Stream.of(
                "NONSENSE\r\n\r\n",
                "GET /health/live HTTP/1.1\r\nHost x\r\n\r\n",
                "GET /health/live HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
                "GET /health/live HTTP/1.1\r\nHost: x\r\nBig: " + "x".repeat(100_000) + "\r\n\r\n",
                Fixture.rawHead("POST", CHAT_PATH, "Content-Length: 3", "Transfer-Encoding: chunked") + "abc",
                "GET /v1/%zz HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("notHttp")
    void invalidHttpIsRejectedAndTheConnectionClosed(String input) throws Exception {
        String response = responseTo(input);
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertTrue(fixture.submitter.nothingSubmitted());
    }

    @Test
    void invalidChunkEndsInTheBodyTimeout() throws Exception {
        String response = responseTo(Fixture.rawHead("POST", CHAT_PATH, "Transfer-Encoding: chunked") + "zz\r\nabc");
        assertTrue(response.startsWith("HTTP/1.1 408 "), response);
    }

    // One caller sends only a part of a head, another one sends nothing. Both connections are closed.
    @Test
    void missingHeadClosesTheConnection() throws Exception {
        assertEquals("", responseTo("GET /v1/address"));
        assertEquals("", responseTo(""));
    }

    @Test
    void http10RequestIsRejectedBecauseInterruptionsWouldBeUndetectable() throws Exception {
        String head = Fixture.rawHead("GET", "/services/cell-gateway/x").replace("HTTP/1.1", "HTTP/1.0");
        String response = responseTo(head);
        assertTrue(response.startsWith("HTTP/1.0 400 ") && response.contains("HTTP/1.1 is needed"), response);
    }

    // The caller sends far more than the limit and reads only afterwards. The remainder is read and discarded, because
    // closing a socket with unread input sends a reset that discards the rejection.
    @Test
    void rejectionReachesACallerThatIsStillSending() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", CHAT_PATH, "Transfer-Encoding: chunked"));
            String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
            for (int sentBytes = 0; sentBytes < (10 << 20); sentBytes += 0x1000) {
                Fixture.send(socket, chunk);
            }
            String response = Fixture.readUntil(socket, "}");
            assertTrue(response.startsWith("HTTP/1.1 413 "), response);
        }
    }

    @Test
    void expectedBodyIsReadOnlyForAKnownCustomer() throws Exception {
        String known = responseTo(
                Fixture.rawHead("POST", CHAT_PATH, "Expect: 100-continue", "Connection: close", "Content-Length: 3")
                        + "abc");
        assertTrue(known.contains("body is not JSON"), known);
        String unknown = responseTo(Fixture.rawHead("POST", CHAT_PATH, "Expect: 100-continue", "Content-Length: 3")
                .replace(Fixture.KEY_ONE, "wrong"));
        assertTrue(unknown.startsWith("HTTP/1.1 401 "), unknown);
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (Socket socket = fixture.connect()) {
            String first = Fixture.rawHead("GET", "/services/cell-gateway/1");
            Fixture.send(socket, first + first.replace("/1 ", "/2 "));
            fixture.submitter.next().respond(200, "text/plain", "one");
            FakeRequestSubmitter.Submitted second = fixture.submitter.next();
            Fixture.send(socket, first.replace("/1 ", "/3 "));
            second.respond(200, "text/plain", "two");
            fixture.submitter.next().respond(200, "text/plain", "three");
            String all = Fixture.readUntil(socket, "three");
            assertTrue(all.indexOf("one") < all.indexOf("two"), all);
            String tail = Fixture.readAll(socket); // ends because an idle connection is closed
            assertFalse(tail.contains("HTTP/1.1"), tail);
        }
        assertTrue(fixture.submitter.callersGone.isEmpty());
    }

    // Two idle connections reach the limit. A third caller waits to be accepted, and receives its response once an idle
    // connection has been closed by its timeout.
    @Test
    void connectionsAboveTheLimitWait() throws Exception {
        CallerOptions options = CallerOptions.builder()
                .maxConnections(2)
                .times(new CallerOptions.Times(HEAD_TIMEOUT_MS, 500, 1_000, 50, 30_000, 10_000, 1_000))
                .build();
        String request = Fixture.rawHead("GET", "/health/live", "Connection: close");
        try (Fixture small = Fixture.start(options)) {
            try (Socket warm = small.connect()) {
                Fixture.send(warm, request);
                Fixture.readAll(warm);
            }
            try (Socket first = small.connect();
                    Socket second = small.connect();
                    Socket third = small.connect()) {
                Fixture.send(third, request);
                assertTrue(Fixture.readUntil(third, "}").startsWith("HTTP/1.1 200 "));
                assertTrue(isClosed(first) || isClosed(second), "the third connection was accepted above the limit");
            }
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        socket.setSoTimeout(20);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        }
    }

    @Test
    void requestsAboveTheLimitAreRejected() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/1"));
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            String refused = responseTo(Fixture.rawHead("GET", "/services/cell-gateway/2"));
            assertTrue(refused.startsWith("HTTP/1.1 503 ") && refused.contains("entry-queue-full"), refused);
            call.respond(200, "text/plain", "one");
            Fixture.readUntil(socket, "one");
        }
        assertTrue(responseTo(Fixture.rawHead("GET", "/v1/nothing")).startsWith("HTTP/1.1 404 "));
    }

    // The caller reads the start of its response and then stops. Its unread bytes are within the limit, so only the
    // stall timeout detects it. Its connection is closed and the request is reported as abandoned.
    @Test
    void callerThatStopsReadingIsDisconnectedAfterTheStallTimeout() throws Exception {
        try (Socket socket = fixture.connect()) {
            socket.setReceiveBufferSize(4 << 10);
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/1"));
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            call.head(200, "application/octet-stream");
            for (int i = 0; i < 4_000_000 / 1_000; i++) {
                call.response().onBytes(new byte[1_000]);
            }
            Fixture.await(
                    () -> fixture.submitter.callersGone.contains(call.spec().requestId()));
            // The submitter is notified before the metric is updated.
            Fixture.await(() -> fixture.metrics.meter("caller.slow_caller").getCount() > 0);
            assertEquals(1, fixture.metrics.meter("caller.slow_caller").getCount());
        }
    }

    @Test
    void responsesWithoutABodyHaveNoContentLength() throws Exception {
        for (String method : new String[] {"GET", "HEAD"}) {
            var response = fixture.client.sendAsync(
                    fixture.request("/services/cell-gateway")
                            .method(method, HttpRequest.BodyPublishers.noBody())
                            .build(),
                    BodyHandlers.ofString());
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            assertEquals(method + " /", call.call().method() + ' ' + call.call().path());
            call.head(304, "text/plain");
            call.response().onComplete();
            assertEquals(304, response.get().statusCode());
            assertFalse(response.get().headers().firstValue("Content-Length").isPresent());
        }
    }
}
