package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.InstanceId;

/** Two instances, a and b. The calls are stop acknowledgements, which must not run twice. */
class RequestKeysTest {
    private static final CallerOptions OPTIONS = CallerOptions.builder()
            .maxCached(1_000, 3_000)
            .times(new CallerOptions.Times(10_000, 10_000, 60_000, 5_000, 30_000, 50, 100))
            .build();

    private final FakePeers peers = new FakePeers();
    private final Map<String, String> claimed = new ConcurrentHashMap<>();
    private volatile boolean claimsDown;
    private final Fixture a = Fixture.start("a", OPTIONS, peers, this::claim);
    private final Fixture b = Fixture.start("b", OPTIONS, peers, this::claim);

    private CompletableFuture<Claims.Result> claim(Object customer, String keyHash, String requestKey) {
        if (claimsDown) {
            claimed.putIfAbsent(keyHash, requestKey); // takes effect, but the response is lost
            return CompletableFuture.completedFuture(new Claims.Result.NotClaimed("down"));
        }
        String holder = claimed.putIfAbsent(keyHash, requestKey);
        return CompletableFuture.completedFuture(
                holder == null
                        ? new Claims.Result.Claimed(() -> claimed.remove(keyHash))
                        : new Claims.Result.HeldBy(holder));
    }

    @AfterEach
    void close() {
        a.close();
        b.close();
    }

    private static HttpRequest stop(Fixture at, String apiKey, String header, String value, String body) {
        return at.request("/services/cell-gateway/stop")
                .setHeader("Authorization", "Bearer " + apiKey)
                .header(header, value)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static HttpRequest keyed(Fixture at, String key) {
        return stop(at, Fixture.KEY_ONE, "Request-Key", key, "stop 7");
    }

    private static CompletableFuture<HttpResponse<String>> send(Fixture at, HttpRequest request) {
        return at.client.sendAsync(request, BodyHandlers.ofString());
    }

    private static JsonNode refused(CompletableFuture<HttpResponse<String>> response, ErrorType type, String run)
            throws Exception {
        JsonNode body = Json.MAPPER.readTree(response.get().body());
        assertEquals(Problem.urn(type), body.get("type").asText(), body::toString);
        assertEquals(run, body.get("run").asText(), body::toString);
        return body;
    }

    // The caller's connection breaks while its request runs. A second attempt with the key reads the response of
    // the same execution, and a third one after its end receives the cached response; the target receives one call.
    @Test
    void retryAttachesToRunningRequestAndEndedResponseIsReplayed() throws Exception {
        String key = a.key("k1");
        FakeRequestSubmitter.Submitted call;
        try (Socket first = a.connect()) {
            Fixture.send(
                    first,
                    Fixture.rawHead("POST", "/services/cell-gateway/stop", "Request-Key: " + key, "Content-Length: 6")
                            + "stop 7");
            call = a.submitter.next();
        }
        call.head(200, "text/plain");
        call.bytes("stop");
        CompletableFuture<HttpResponse<String>> second = send(a, keyed(a, key));
        Fixture.await(() -> a.metrics.meter("caller.requests").getCount() == 2);
        call.bytes("ped");
        call.response().onComplete();
        assertEquals("stopped", second.get().body());
        assertEquals("stopped", send(a, keyed(a, key)).get().body());
        assertTrue(a.submitter.nothingSubmitted());
        assertTrue(a.submitter.callersGone.isEmpty());
    }

    @Test
    void responseIsNotGivenForAnotherBodyOrCustomer() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.submitter.next().respond(200, "text/plain", "stopped");
        first.get();
        refused(send(a, stop(a, Fixture.KEY_ONE, "Request-Key", key, "stop 8")), ErrorType.KEY_IN_USE, "not-run");
        CompletableFuture<HttpResponse<String>> other = send(a, stop(a, Fixture.KEY_TWO, "Request-Key", key, "stop 7"));
        FakeRequestSubmitter.Submitted own = a.submitter.next();
        assertEquals("two", own.spec().customer().name());
        own.respond(200, "text/plain", "own");
        assertEquals("own", other.get().body());
    }

    // The first attempt has not reached its home a, and the retry goes to b. b queries a and responds "not run".
    // The first attempt arrives at a later; it must be rejected and never run.
    @Test
    void keyReportedNotRunElsewhereNeverRuns() throws Exception {
        String key = a.key("k1");
        refused(send(b, keyed(b, key)), ErrorType.KEY_DEAD, "not-run");
        refused(send(a, keyed(a, key)), ErrorType.KEY_DEAD, "not-run");
        assertTrue(a.submitter.nothingSubmitted());
        assertTrue(b.submitter.nothingSubmitted());
    }

    @Test
    void retryAtAnotherInstanceIsRedirectedToTheHome() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        FakeRequestSubmitter.Submitted call = a.submitter.next();
        HttpResponse<String> elsewhere = send(b, keyed(b, key)).get();
        assertEquals(307, elsewhere.statusCode());
        assertEquals(
                "http://" + a.server.boundAddress() + "/services/cell-gateway/stop",
                elsewhere.headers().firstValue("Location").orElseThrow());
        refused(CompletableFuture.completedFuture(elsewhere), ErrorType.KEY_AT_HOME, "unknown");
        call.respond(200, "text/plain", "stopped");
        assertEquals("stopped", first.get().body());
    }

    // The home does not reply. It may have started the request, so the only correct outcome is "unknown", with a
    // Retry-After.
    @Test
    void unreachableHomeMakesTheOutcomeUnknown() throws Exception {
        String key = a.key("k1");
        peers.disconnect(InstanceId.of("a"));
        CompletableFuture<HttpResponse<String>> retry = send(b, keyed(b, key));
        refused(retry, ErrorType.KEY_OUTCOME_UNKNOWN, "unknown");
        assertEquals("2", retry.get().headers().firstValue("Retry-After").orElseThrow());
    }

    // The home was restarted after it issued the key. No instance knows what its earlier incarnation did, so the
    // outcome stays unknown.
    @Test
    void restartedHomeMakesTheOutcomePermanentlyUnknown() throws Exception {
        String key = a.key("k1").replace(":7:", ":6:");
        for (Fixture at : List.of(a, b)) {
            CompletableFuture<HttpResponse<String>> retry = send(at, keyed(at, key));
            refused(retry, ErrorType.KEY_OUTCOME_UNKNOWN, "unknown");
            assertFalse(retry.get().headers().firstValue("Retry-After").isPresent());
        }
    }

    // The first attempt is rejected as "not run" after its wait timeout. Its caller may have acted on that, so the same
    // key must never run.
    @Test
    void requestThatEndedNotRunIsNotStartedAgain() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.submitter.next().response().onFailure(Failure.notRun(ErrorType.WAIT_TIMEOUT, 1_000, ""));
        refused(first, ErrorType.WAIT_TIMEOUT, "not-run");
        refused(send(a, keyed(a, key)), ErrorType.KEY_DEAD, "not-run");
    }

    // A retry is malformed while the first attempt runs: its rejection must not claim that the request did not run.
    @Test
    void rejectedRetryOfARunningRequestIsUnknown() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        FakeRequestSubmitter.Submitted call = a.submitter.next();
        HttpRequest malformed = a.request("/services/cell-gateway/stop")
                .header("Request-Key", key)
                .header("Repeatable", "perhaps")
                .build();
        refused(send(a, malformed), ErrorType.MALFORMED_REQUEST, "unknown");
        call.respond(200, "text/plain", "stopped");
        first.get();
    }

    // The caller disconnects and does not return. A repeatable request is cancelled after the grace period; one that is
    // not repeatable continues, and its response stays available under its key.
    @Test
    void onlyARepeatableRequestIsCancelledAfterTheGracePeriod() throws Exception {
        long cancelled = abandon("Repeatable: yes", "k1");
        long running = abandon("Repeatable: no", "k2");
        Fixture.await(() -> a.submitter.callersGone.contains(cancelled));
        abandonAgain();
        assertFalse(a.submitter.callersGone.contains(running));
    }

    private long abandon(String header, String suffix) throws IOException, InterruptedException {
        try (Socket socket = a.connect()) {
            String head = Fixture.rawHead(
                    "POST",
                    "/services/cell-gateway/stop",
                    "Request-Key: " + a.key(suffix),
                    header,
                    "Content-Length: 0");
            Fixture.send(socket, head);
            return a.submitter.next().spec().requestId();
        }
    }

    /** Waits until a later repeatable request is cancelled; the grace period of the earlier ones has then expired. */
    private void abandonAgain() throws IOException, InterruptedException {
        long again = abandon("Repeatable: yes", "k3");
        Fixture.await(() -> a.submitter.callersGone.contains(again));
    }

    @Test
    void responseTooLargeToCacheIsNotReplayedInPart() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.submitter.next().respond(200, "text/plain", "x".repeat(1_001));
        assertEquals(1_001, first.get().body().length());
        refused(send(a, keyed(a, key)), ErrorType.ANSWER_NOT_KEPT, "unknown");
    }

    // Two attempts with the caller's idempotency key at two instances: one runs, the other is redirected to it.
    @Test
    void idempotencyKeyRunsOnceInTheFleet() throws Exception {
        HttpRequest atA = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        CompletableFuture<HttpResponse<String>> first = send(a, atA);
        FakeRequestSubmitter.Submitted call = a.submitter.next();
        HttpResponse<String> second = send(b, stop(b, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7"))
                .get();
        assertEquals(307, second.statusCode());
        CompletableFuture<HttpResponse<String>> third = send(a, atA);
        call.respond(200, "text/plain", "stopped");
        assertEquals("stopped", first.get().body());
        assertEquals("stopped", third.get().body());
        assertTrue(a.submitter.nothingSubmitted());
        assertTrue(b.submitter.nothingSubmitted());
    }

    // The response to the claim is lost, so the request is rejected as "not run" although the claim took effect. A
    // retry finds the claiming request dead and is rejected until the claim is released.
    @Test
    void requestWhoseClaimResponseWasLostNeverRuns() throws Exception {
        claimsDown = true;
        HttpRequest request = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        refused(send(a, request), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        claimsDown = false;
        refused(send(a, request), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        HttpRequest atB = stop(b, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        refused(send(b, atB), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        assertTrue(a.submitter.nothingSubmitted());
        claimed.clear();
        CompletableFuture<HttpResponse<String>> later = send(a, request);
        a.submitter.next().respond(200, "text/plain", "stopped");
        assertEquals("stopped", later.get().body());
    }

    // A request with an idempotency key is rejected by a full queue. The caller's next attempt with the same key
    // must be able to run.
    @Test
    void idempotencyKeyIsReleasedIfTheRequestDidNotRun() throws Exception {
        HttpRequest request = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        CompletableFuture<HttpResponse<String>> first = send(a, request);
        a.submitter.next().response().onFailure(Failure.notRun(ErrorType.CUSTOMER_QUEUE_FULL, 1_000, "9"));
        refused(first, ErrorType.CUSTOMER_QUEUE_FULL, "not-run");
        CompletableFuture<HttpResponse<String>> second = send(a, request);
        a.submitter.next().respond(200, "text/plain", "stopped");
        assertEquals("stopped", second.get().body());
    }

    @Test
    void invalidKeyIsRejected() throws Exception {
        refused(send(a, keyed(a, "no key")), ErrorType.MALFORMED_REQUEST, "not-run");
        refused(send(a, keyed(a, a.key("~~1"))), ErrorType.MALFORMED_REQUEST, "not-run");
    }
}
