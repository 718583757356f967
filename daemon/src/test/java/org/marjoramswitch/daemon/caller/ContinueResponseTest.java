package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Callers that announce a body and wait for 100 (Continue) before they send it. */
@Timeout(20)
class ContinueResponseTest {
    private static final String EXPECT = "Expect: 100-continue";
    private static final String SERVICE = "/services/cell-gateway/";

    private final Fixture fixture = Fixture.start(CallerOptions.builder()
            .maxBodyBytes(100)
            .times(new CallerOptions.Times(5_000, 2_000, 5_000, 50, 30_000, 10_000, 1_000))
            .build());

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Guards against a caller that is never asked for its body, and against fields that an interim response must not have. */
    @Test
    void bodyIsReadAfterInterimResponse() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, head("1", "Content-Length: 4"));
            String interim = Fixture.readUntil(socket, "\r\n\r\n");
            assertTrue(interim.startsWith("HTTP/1.1 100 Continue\r\n"), interim);
            assertFalse(interim.toLowerCase(Locale.ROOT).contains("content-length"), interim);
            assertFalse(interim.toLowerCase(Locale.ROOT).contains("transfer-encoding"), interim);
            Fixture.send(socket, "body");
            assertEquals("body", respondToNext("one"));
            assertOneFinalResponse(readResponse(socket, "one"));
        }
    }

    /** Guards against a second interim response when the body arrives in several chunks. */
    @Test
    void bodyInChunksIsReadAfterOneInterimResponse() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, head("1", "Transfer-Encoding: chunked"));
            assertTrue(Fixture.readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 100 "));
            for (String piece : new String[] {"4", "\r\n", "bo", "dy", "\r\n0\r\n", "\r\n"}) {
                Fixture.send(socket, piece);
            }
            assertEquals("body", respondToNext("one"));
            assertOneFinalResponse(readResponse(socket, "one"));
        }
    }

    /** Guards against an interim response to a caller that has begun to send its body. */
    @Test
    void bodyThatHasBegunIsNotAskedFor() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, head("1", "Content-Length: 4") + "b");
            awaitOpenRequest();
            Fixture.send(socket, "ody" + head("2", "Transfer-Encoding: chunked") + "4");
            assertEquals("body", respondToNext("one"));
            assertOneFinalResponse(readResponse(socket, "one"));
            awaitOpenRequest();
            Fixture.send(socket, "\r\nbody\r\n0\r\n\r\n");
            assertEquals("body", respondToNext("two"));
            assertOneFinalResponse(readResponse(socket, "two"));
        }
    }

    /** Guards against an interim response to a request that is rejected by its head. */
    @Test
    void rejectionByTheHeadIsTheOnlyResponse() throws Exception {
        String unknownKey = head("1", "Content-Length: 4").replace(Fixture.KEY_ONE, "wrong");
        assertTrue(responseTo(unknownKey).startsWith("HTTP/1.1 401 "));
        assertTrue(responseTo(head("1", "Content-Length: 101")).startsWith("HTTP/1.1 413 "));
        String http10 = head("1", "Content-Length: 4").replace("HTTP/1.1", "HTTP/1.0");
        assertTrue(responseTo(http10).startsWith("HTTP/1.0 400 "));
    }

    /** Guards against an interim response where no body follows. */
    @Test
    void emptyBodyIsNotAskedFor() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, head("1", "Content-Length: 0"));
            assertEquals("", respondToNext("one"));
            assertOneFinalResponse(readResponse(socket, "one"));
        }
    }

    /** Guards against an interim response that overtakes the response to the request before it. */
    @Test
    void interimResponseFollowsEarlierResponses() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("GET", SERVICE + "1") + head("2", "Content-Length: 4"));
            assertEquals("", respondToNext("one"));
            String received = Fixture.readUntil(socket, "HTTP/1.1 100 Continue\r\n");
            assertTrue(received.startsWith("HTTP/1.1 200 "), received);
            // In one chunk if the head is written before the end of the response is known.
            boolean isWhole = received.contains("\r\n\r\none") || received.contains("\r\n\r\n03\r\none\r\n0\r\n");
            assertTrue(isWhole, received);
            Fixture.send(socket, "body" + Fixture.rawHead("GET", SERVICE + "3"));
            assertEquals("body", respondToNext("two"));
            assertEquals("", respondToNext("three"));
            String rest = Fixture.readUntil(socket, "three");
            assertFalse(rest.contains("HTTP/1.1 100 "), rest);
            assertTrue(rest.indexOf("two") < rest.indexOf("three"), rest);
        }
    }

    /** Guards against a caller without a response because its body never follows, or is too large. */
    @Test
    void rejectionFollowsTheInterimResponse() throws Exception {
        String late = responseTo(head("1", "Content-Length: 4"));
        assertTrue(late.startsWith("HTTP/1.1 100 Continue\r\n"), late);
        assertEquals(2, late.split("HTTP/1.1 ", -1).length - 1, late);
        assertTrue(late.contains("HTTP/1.1 408 "), late);
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, head("1", "Transfer-Encoding: chunked"));
            assertTrue(Fixture.readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 100 "));
            Fixture.send(socket, "65\r\n" + "x".repeat(0x65));
            assertTrue(Fixture.readUntil(socket, "}").startsWith("HTTP/1.1 413 "));
        }
        assertTrue(fixture.submitter.nothingSubmitted());
    }

    /** Waits until the head of a request was read; its body is read next, on the same thread. */
    private void awaitOpenRequest() throws InterruptedException {
        Fixture.await(() -> fixture.metrics.counter("caller.open_requests").getCount() == 1);
    }

    private static String head(String path, String framing) {
        return Fixture.rawHead("POST", SERVICE + path, EXPECT, framing);
    }

    /** Responds to the next request with this text; returns the request's body. */
    private String respondToNext(String text) throws InterruptedException {
        FakeRequestSubmitter.Submitted next = fixture.submitter.next();
        next.respond(200, "text/plain", text);
        return new String(next.call().body(), StandardCharsets.UTF_8);
    }

    /** Reads a response with this body, which comes in one chunk if its head is written before its end is known. */
    private static String readResponse(Socket socket, String body) throws IOException {
        String received = Fixture.readUntil(socket, body);
        boolean isChunked = received.contains("Transfer-Encoding: chunked");
        return isChunked ? received + Fixture.readUntil(socket, "\r\n0\r\n\r\n") : received;
    }

    private static void assertOneFinalResponse(String received) {
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        assertEquals(1, received.split("HTTP/1.1 ", -1).length - 1, received);
    }

    private String responseTo(String input) throws IOException {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, input);
            return Fixture.readAll(socket);
        }
    }
}
