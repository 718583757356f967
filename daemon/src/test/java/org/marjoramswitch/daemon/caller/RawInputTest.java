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

/** Input that no well-behaved client sends, byte by byte. */
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

    private String answerTo(String input) throws IOException {
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
    void whatIsNotHttpIsRefusedAndTheConnectionClosed(String input) throws Exception {
        String answer = answerTo(input);
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(fixture.gate.nothingSubmitted());
    }

    @Test
    void aChunkThatIsNoneEndsInTheBodysTimeout() throws Exception {
        String answer = answerTo(Fixture.rawHead("POST", CHAT_PATH, "Transfer-Encoding: chunked") + "zz\r\nabc");
        assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
    }

    // The caller sends a part of a head and no more; another one connects and says nothing. Both are closed.
    @Test
    void aHeadThatDoesNotComeClosesTheConnection() throws Exception {
        assertEquals("", answerTo("GET /v1/address"));
        assertEquals("", answerTo(""));
    }

    @Test
    void anAnswerThatCouldNotBeSeenToBreakIsRefused() throws Exception {
        String head = Fixture.rawHead("GET", "/services/cell-gateway/x").replace("HTTP/1.1", "HTTP/1.0");
        String answer = answerTo(head);
        assertTrue(answer.startsWith("HTTP/1.0 400 ") && answer.contains("HTTP/1.1 is needed"), answer);
    }

    // The caller sends far more than the limit and reads only when it has sent it: the rest is read and thrown away, so
    // that the refusal is not lost in a reset.
    @Test
    void aRefusalReachesACallerThatIsStillSending() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", CHAT_PATH, "Transfer-Encoding: chunked"));
            String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
            for (int sentBytes = 0; sentBytes < (10 << 20); sentBytes += 0x1000) {
                Fixture.send(socket, chunk);
            }
            String answer = Fixture.readUntil(socket, "}");
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }

    @Test
    void aBodyThatTheCallerAsksLeaveForIsReadAndOneOfNobodyIsNot() throws Exception {
        String known = answerTo(
                Fixture.rawHead("POST", CHAT_PATH, "Expect: 100-continue", "Connection: close", "Content-Length: 3")
                        + "abc");
        assertTrue(known.contains("body is not JSON"), known);
        String unknown = answerTo(Fixture.rawHead("POST", CHAT_PATH, "Expect: 100-continue", "Content-Length: 3")
                .replace(Fixture.KEY_ONE, "wrong"));
        assertTrue(unknown.startsWith("HTTP/1.1 401 "), unknown);
    }

    @Test
    void requestsSentAheadAreAnsweredInOrder() throws Exception {
        try (Socket socket = fixture.connect()) {
            String first = Fixture.rawHead("GET", "/services/cell-gateway/1");
            Fixture.send(socket, first + first.replace("/1 ", "/2 "));
            fixture.gate.next().whole(200, "text/plain", "one");
            FakeRequestSubmitter.Submitted second = fixture.gate.next();
            Fixture.send(socket, first.replace("/1 ", "/3 "));
            second.whole(200, "text/plain", "two");
            fixture.gate.next().whole(200, "text/plain", "three");
            String all = Fixture.readUntil(socket, "three");
            assertTrue(all.indexOf("one") < all.indexOf("two"), all);
            String tail = Fixture.readAll(socket); // ends, since an idle connection is closed
            assertFalse(tail.contains("HTTP/1.1"), tail);
        }
        assertTrue(fixture.gate.gone.isEmpty());
    }

    // Two silent connections take all places. A third caller waits to be accepted, and is answered once the silent ones
    // have been closed for saying nothing.
    @Test
    void moreConnectionsThanTheLimitWait() throws Exception {
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
                assertTrue(isClosed(first) || isClosed(second), "the third was accepted beside the others");
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
    void moreRequestsThanTheLimitAreRefused() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/1"));
            FakeRequestSubmitter.Submitted call = fixture.gate.next();
            String refused = answerTo(Fixture.rawHead("GET", "/services/cell-gateway/2"));
            assertTrue(refused.startsWith("HTTP/1.1 503 ") && refused.contains("entry-queue-full"), refused);
            call.whole(200, "text/plain", "one");
            Fixture.readUntil(socket, "one");
        }
        assertTrue(answerTo(Fixture.rawHead("GET", "/v1/nothing")).startsWith("HTTP/1.1 404 "));
    }

    // The caller takes the beginning of its answer and then nothing: what it leaves unread is within the limit, so only
    // the time it has taken no byte for can tell. Its connection is cut and the gate hears of it.
    @Test
    void aCallerThatStopsReadingIsCutAfterATime() throws Exception {
        try (Socket socket = fixture.connect()) {
            socket.setReceiveBufferSize(4 << 10);
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/1"));
            FakeRequestSubmitter.Submitted call = fixture.gate.next();
            call.head(200, "application/octet-stream");
            for (int i = 0; i < 4_000_000 / 1_000; i++) {
                call.answer().onBytes(new byte[1_000]);
            }
            Fixture.await(() -> fixture.gate.gone.contains(call.spec().requestId()));
            // The gate hears of it before it is counted.
            Fixture.await(() -> fixture.metrics.meter("caller.slow_caller").getCount() > 0);
            assertEquals(1, fixture.metrics.meter("caller.slow_caller").getCount());
        }
    }

    @Test
    void answersWithoutABodyHaveNone() throws Exception {
        for (String method : new String[] {"GET", "HEAD"}) {
            var response = fixture.client.sendAsync(
                    fixture.request("/services/cell-gateway")
                            .method(method, HttpRequest.BodyPublishers.noBody())
                            .build(),
                    BodyHandlers.ofString());
            FakeRequestSubmitter.Submitted call = fixture.gate.next();
            assertEquals(method + " /", call.call().method() + ' ' + call.call().path());
            call.head(304, "text/plain");
            call.answer().onComplete();
            assertEquals(304, response.get().statusCode());
            assertFalse(response.get().headers().firstValue("Content-Length").isPresent());
        }
    }
}
