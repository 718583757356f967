package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.settings.FleetSettings;

class CallerServerTest {
    private static final String SSE = "text/event-stream";
    private Fixture fixture = Fixture.start(CallerOptions.defaults());

    @AfterEach
    void close() {
        fixture.close();
    }

    private static CallerOptions.Builder withTimes(int bodyTimeoutMs, int keepAliveMs) {
        return CallerOptions.builder()
                .times(new CallerOptions.Times(10_000, bodyTimeoutMs, 60_000, keepAliveMs, 30_000, 10_000, 1_000));
    }

    private void restart(CallerOptions options) {
        fixture.close();
        fixture = Fixture.start(options);
    }

    private JsonNode problem(HttpResponse<String> response, ErrorType type) throws IOException {
        JsonNode body = Json.MAPPER.readTree(response.body());
        assertEquals(
                "application/problem+json",
                response.headers().firstValue("Content-Type").orElse(""));
        assertEquals(Problem.urn(type), body.get("type").asText());
        assertEquals(type.httpStatus(), response.statusCode());
        assertEquals(type.httpStatus(), body.get("status").asInt());
        return body;
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return fixture.client.send(request, BodyHandlers.ofString());
    }

    @Test
    void completeResponseIsForwardedWithItsStatus() throws Exception {
        CompletableFuture<HttpResponse<String>> response = fixture.client.sendAsync(
                fixture.chat(Fixture.CHAT, b -> b.header("Priority", "u=1, i").header("Repeatable", "no")),
                BodyHandlers.ofString());
        FakeRequestSubmitter.Submitted call = fixture.submitter.next();
        assertEquals(1, call.spec().urgency());
        assertFalse(call.spec().repeatable());
        assertEquals(Fixture.ONE, call.spec().customer());
        assertEquals(Fixture.MODEL, call.spec().pool());
        assertNull(call.call().headers().get("authorization"));
        call.respond(200, "application/json", "{\"ok\":true}");
        assertEquals("{\"ok\":true}", response.get().body());
        assertEquals("11", response.get().headers().firstValue("Content-Length").orElse("11"));
    }

    @Test
    void plainServiceReceivesPathAndQueryUnchanged() throws Exception {
        CompletableFuture<HttpResponse<String>> response = fixture.client.sendAsync(
                fixture.request("/services/cell-gateway/cells/7%2F8/stop?ack=1&x=%20")
                        .header("X-Own", "kept")
                        .PUT(HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                BodyHandlers.ofString());
        FakeRequestSubmitter.Submitted call = fixture.submitter.next();
        assertEquals("PUT", call.call().method());
        assertEquals("/cells/7%2F8/stop?ack=1&x=%20", call.call().path());
        assertEquals("kept", call.call().headers().get("X-Own"));
        assertFalse(call.spec().repeatable());
        call.respond(404, "text/plain", "no such cell");
        assertEquals(404, response.get().statusCode());
        assertEquals("no such cell", response.get().body());
    }

    @Test
    void connectionServesSuccessiveRequests() throws Exception {
        try (Socket socket = fixture.connect()) {
            for (int i = 0; i < 3; i++) {
                Fixture.send(
                        socket,
                        Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: " + Fixture.CHAT.length())
                                + Fixture.CHAT);
                fixture.submitter.next().respond(200, "text/plain", "answer" + i);
                Fixture.readUntil(socket, "answer" + i);
            }
        }
        assertTrue(fixture.submitter.callersGone.isEmpty());
    }

    /** Guards against a send for a caller without a request key whose close has not been read yet. */
    @Test
    void closeIsReadBeforeTheRequestIsSent() throws Exception {
        CompletableFuture<Boolean> gone = new CompletableFuture<>();
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/cells/7"));
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            socket.close();
            call.response().checkCaller(gone::complete);
        }
        assertTrue(gone.get(10, TimeUnit.SECONDS));
    }

    /** Guards against cancelling a request with a key, which continues without its caller. */
    @Test
    void closeDoesNotStopARequestWithAKey() throws Exception {
        CompletableFuture<Boolean> gone = new CompletableFuture<>();
        try (Socket socket = fixture.connect()) {
            String key = "Request-Key: " + fixture.key("k1");
            Fixture.send(socket, Fixture.rawHead("GET", "/services/cell-gateway/cells/7", key));
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            socket.close();
            call.response().checkCaller(gone::complete);
        }
        assertFalse(gone.get(10, TimeUnit.SECONDS));
    }

    // The instance starts draining while a caller's connection is open. The caller receives its complete response and
    // "Connection: close", so that its next request goes to another instance.
    @Test
    void drainingInstanceRespondsAndClosesTheConnection() throws Exception {
        try (Socket socket = fixture.connect()) {
            String head = Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: " + Fixture.CHAT.length());
            Fixture.send(socket, head + Fixture.CHAT);
            fixture.submitter.next().respond(200, "text/plain", "before");
            Fixture.readUntil(socket, "before");
            fixture.health = Health.notReady("leaving");
            Fixture.send(socket, head + Fixture.CHAT);
            fixture.submitter.next().respond(200, "text/plain", "whole");
            String last = Fixture.readAll(socket);
            assertTrue(last.contains("Connection: close") && last.contains("whole"), last);
        }
    }

    @Test
    void rejectionsHaveTheirTypeAndAreNotRun() throws Exception {
        String path = "/v1/chat/completions";
        problem(
                send(fixture.request(path)
                        .setHeader("Authorization", "Bearer wrong")
                        .POST(HttpRequest.BodyPublishers.ofString(Fixture.CHAT))
                        .build()),
                ErrorType.UNKNOWN_API_KEY);
        problem(send(fixture.request("/v1/nothing").build()), ErrorType.UNKNOWN_PATH);
        problem(send(fixture.request(path).build()), ErrorType.METHOD_NOT_ALLOWED);
        problem(send(fixture.chat(Fixture.CHAT.replace("atelier-llm", "none"), b -> b)), ErrorType.UNKNOWN_POOL);
        problem(send(fixture.request("/services/none/x").build()), ErrorType.UNKNOWN_POOL);
        problem(send(fixture.chat(Fixture.CHAT, b -> b.header("Repeatable", "maybe"))), ErrorType.MALFORMED_REQUEST);
        JsonNode json = problem(send(fixture.chat("{\"model\":", b -> b)), ErrorType.MALFORMED_REQUEST);
        assertTrue(json.get("detail").asText().contains("line 1 column"), json::toString);
        JsonNode field = problem(send(fixture.chat("{\"model\":3}", b -> b)), ErrorType.MALFORMED_REQUEST);
        assertTrue(field.get("detail").asText().contains("$.model"), field::toString);
        assertEquals("not-run", field.get("run").asText());
        fixture.settings = FleetSettings.NONE;
        problem(send(fixture.chat(Fixture.CHAT, b -> b)), ErrorType.NOT_READY);
        assertTrue(fixture.submitter.nothingSubmitted());
    }

    @Test
    void failureBeforeTheHeadIsAProblemWithRetryAfterRoundedUp() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                fixture.client.sendAsync(fixture.chat(Fixture.CHAT, b -> b), BodyHandlers.ofString());
        fixture.submitter.next().response().onFailure(Failure.notRun(ErrorType.CUSTOMER_QUEUE_FULL, 1_001, "full"));
        JsonNode body = problem(response.get(), ErrorType.CUSTOMER_QUEUE_FULL);
        assertEquals("not-run", body.get("run").asText());
        assertEquals("2", response.get().headers().firstValue("Retry-After").orElseThrow());
    }

    @Test
    void eventStreamForwardsCompleteEventsAndKeepAliveComments() throws Exception {
        restart(withTimes(10_000, 20).build());
        try (Socket socket = openStream()) {
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            assertTrue(call.call().streaming());
            call.head(200, SSE);
            call.bytes("data: 1\n\ndata: 2");
            Fixture.readUntil(socket, "data: 1\n\n");
            Fixture.readUntil(socket, ": keep-alive\n\n");
            call.bytes("3\n\ndata: [DONE]\n\n");
            call.response().onComplete();
            String rest = Fixture.readUntil(socket, "\r\n0\r\n");
            assertTrue(rest.contains("data: 23\n\ndata: [DONE]\n\n"), rest);
        }
    }

    private Socket openStream() throws IOException {
        Socket socket = fixture.connect();
        Fixture.send(
                socket,
                Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: " + Fixture.CHAT_STREAM.length())
                        + Fixture.CHAT_STREAM);
        return socket;
    }

    // The target's stream breaks after its first event. The caller receives that event and an error event with the
    // problem, and its connection closes without the last chunk, so that no client takes the response for complete.
    @Test
    void interruptedStreamEndsWithAnErrorEventAndWithoutTheLastChunk() throws Exception {
        try (Socket socket = openStream()) {
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            call.head(200, SSE);
            call.bytes("data: 1\n\ndata: hal");
            call.response().onFailure(Failure.unknown(ErrorType.TARGET_BROKE, "reset"));
            String all = Fixture.readAll(socket);
            assertTrue(all.contains("event: error\ndata: {\"type\":\"urn:marjoramswitch:error:target-broke\""), all);
            assertTrue(all.contains("\"run\":\"unknown\""), all);
            assertFalse(all.contains("data: hal"), all);
            assertFalse(all.endsWith("0\r\n\r\n"), all);
        }
    }

    // A non-streaming response breaks after its head was sent. The JDK's client reports an error, not a partial body.
    @Test
    void interruptedResponseIsAnErrorAtTheClient() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                fixture.client.sendAsync(fixture.chat(Fixture.CHAT, b -> b), BodyHandlers.ofString());
        FakeRequestSubmitter.Submitted call = fixture.submitter.next();
        call.head(200, "application/json");
        call.bytes("{\"part\":");
        call.response().onFailure(Failure.unknown(ErrorType.TARGET_BROKE, "reset"));
        assertTrue(
                response.handle((answer, error) -> error instanceof Exception).get());
    }

    /** Guards against a truncated response that ends as complete, because its body has neither a length nor chunks. */
    @ParameterizedTest
    @CsvSource({"text/event-stream,true", "text/event-stream,false", "application/json,true", "application/json,false"})
    void truncatedLastResponseOfAConnectionIsVisiblyIncomplete(String contentType, boolean ready) throws Exception {
        fixture.health = ready ? Health.READY : Health.notReady("draining");
        try (Socket socket = fixture.connect()) {
            String length = "Content-Length: " + Fixture.CHAT_STREAM.length();
            String head = ready
                    ? Fixture.rawHead("POST", "/v1/chat/completions", length, "Connection: close")
                    : Fixture.rawHead("POST", "/v1/chat/completions", length);
            Fixture.send(socket, head + Fixture.CHAT_STREAM);
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            call.head(200, contentType);
            call.bytes("data: 1\n\n");
            call.response().onFailure(Failure.unknown(ErrorType.TARGET_BROKE, "reset"));
            String all = Fixture.readAll(socket).toLowerCase(Locale.ROOT);
            assertTrue(all.contains("connection: close\r\n"), all);
            assertTrue(all.contains("transfer-encoding: chunked\r\n"), all);
            assertFalse(all.endsWith("0\r\n\r\n"), all);
        }
    }

    // The caller declares a body beyond the limit, or sends one in chunks: it is rejected before the body is complete.
    @Test
    void oversizedBodyIsRejectedWithoutReadingIt() throws Exception {
        restart(CallerOptions.builder().maxBodyBytes(100).build());
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: 1000000"));
            assertTrue(Fixture.readUntil(socket, "}").contains("413"));
        }
        try (Socket socket = fixture.connect()) {
            Fixture.send(
                    socket,
                    Fixture.rawHead("POST", "/v1/chat/completions", "Transfer-Encoding: chunked") + "c8\r\n"
                            + "x".repeat(200) + "\r\n");
            assertTrue(Fixture.readUntil(socket, "}").contains("body-too-large"));
        }
        assertTrue(fixture.submitter.nothingSubmitted());
    }

    // The caller sends only a part of its body: after the timeout it is rejected and its connection is closed.
    @Test
    void slowBodyIsRejectedAfterTheTimeout() throws Exception {
        restart(withTimes(50, 5_000).build());
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: 100") + "{");
            String all = Fixture.readAll(socket);
            assertTrue(all.startsWith("HTTP/1.1 408") && all.contains("body-timeout"), all);
        }
    }

    // The caller closes its sending side within the body and still reads: it receives an error response.
    @Test
    void halfClosedBodyIsRejected() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", "/v1/chat/completions", "Content-Length: 100") + "{");
            socket.shutdownOutput();
            String all = Fixture.readAll(socket);
            assertTrue(all.startsWith("HTTP/1.1 400") && all.contains("malformed-request"), all);
        }
    }

    // The caller closes its connection, or only its sending side, while its request waits. The request is reported as
    // abandoned, and a caller that closed only its sending side receives the reason.
    @Test
    void callerThatDisconnectsIsDetectedWhileItsRequestWaits() throws Exception {
        try (Socket socket = openStream()) {
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            socket.shutdownOutput();
            Fixture.await(
                    () -> fixture.submitter.callersGone.contains(call.spec().requestId()));
            String all = Fixture.readAll(socket);
            assertTrue(all.startsWith("HTTP/1.1 499") && all.contains("caller-gone"), all);
        }
        Socket closed = openStream();
        FakeRequestSubmitter.Submitted call = fixture.submitter.next();
        closed.close();
        Fixture.await(() -> fixture.submitter.callersGone.contains(call.spec().requestId()));
    }

    // One caller never reads its stream. Its connection is closed at the limit of unread bytes; another caller is
    // served.
    @Test
    void onlyTheCallerThatDoesNotReadIsDisconnected() throws Exception {
        restart(CallerOptions.builder().maxUnreadBytes(64 << 10).build());
        try (Socket slow = openStream()) {
            FakeRequestSubmitter.Submitted call = fixture.submitter.next();
            call.head(200, SSE);
            String event = "data: " + "x".repeat(16 << 10) + "\n\n";
            for (int i = 0;
                    i < 2_000
                            && !fixture.submitter.callersGone.contains(
                                    call.spec().requestId());
                    i++) {
                call.bytes(event);
            }
            Fixture.await(
                    () -> fixture.submitter.callersGone.contains(call.spec().requestId()));
            completeResponseIsForwardedWithItsStatus();
            assertEquals(1, fixture.metrics.meter("caller.slow_caller").getCount());
        }
    }

    @Test
    void addressesAreStableForACustomerAndRotateForALargeOne() throws Exception {
        JsonNode first = Json.MAPPER.readTree(
                send(fixture.request("/v1/address").build()).body());
        JsonNode again = Json.MAPPER.readTree(
                send(fixture.request("/v1/address").build()).body());
        assertEquals(first, again);
        assertEquals(3, first.get("instances").size());
        assertTrue(first.get("keepMs").asLong() > 0);
        HttpRequest large = fixture.request("/v1/address")
                .setHeader("Authorization", "Bearer " + Fixture.KEY_TWO)
                .build();
        JsonNode firstAddress =
                Json.MAPPER.readTree(send(large).body()).get("instances").get(0);
        JsonNode nextAddress =
                Json.MAPPER.readTree(send(large).body()).get("instances").get(0);
        assertNotEquals(firstAddress, nextAddress);
    }

    @Test
    void healthModelsAndMetricsRespond() throws Exception {
        assertEquals(200, send(fixture.request("/health/ready").build()).statusCode());
        fixture.health = Health.notReady("leaving");
        assertEquals(503, send(fixture.request("/health/ready").build()).statusCode());
        assertEquals(200, send(fixture.request("/health/live").build()).statusCode());
        assertTrue(send(fixture.request("/v1/models").build()).body().contains("\"id\":\"atelier-llm\""));
        String text = send(fixture.request("/metrics").build()).body();
        assertTrue(text.contains("# TYPE marjoramswitch_caller_requests_total counter"), text);
        String json = send(fixture.request("/metrics?format=json").build()).body();
        assertTrue(Json.MAPPER.readTree(json).has("caller.requests"), json);
    }
}
