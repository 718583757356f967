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

/** Two instances, a and b; calls are stop acknowledgements, which must not run twice. */
class RequestKeysTest {
    private static final CallerOptions OPTIONS = CallerOptions.builder()
            .maxKept(1_000, 3_000)
            .times(new CallerOptions.Times(10_000, 10_000, 60_000, 5_000, 30_000, 50, 100))
            .build();

    private final FakePeers peers = new FakePeers();
    private final Map<String, String> claimed = new ConcurrentHashMap<>();
    private volatile boolean claimsDown;
    private final Fixture a = Fixture.start("a", OPTIONS, peers, this::claim);
    private final Fixture b = Fixture.start("b", OPTIONS, peers, this::claim);

    private CompletableFuture<Claims.Result> claim(Object customer, String keyHash, String requestKey) {
        if (claimsDown) {
            claimed.putIfAbsent(keyHash, requestKey); // took effect, but the answer is lost
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

    // The caller's connection breaks while its request runs. A second try with the key follows the same execution, and
    // a
    // third one after the end gets the answer again; the target saw one call.
    @Test
    void aRetryFollowsTheRunningRequestAndAnEndedOneIsGivenAgain() throws Exception {
        String key = a.key("k1");
        FakeRequestSubmitter.Submitted call;
        try (Socket first = a.connect()) {
            Fixture.send(
                    first,
                    Fixture.rawHead("POST", "/services/cell-gateway/stop", "Request-Key: " + key, "Content-Length: 6")
                            + "stop 7");
            call = a.gate.next();
        }
        call.head(200, "text/plain");
        call.bytes("stop");
        CompletableFuture<HttpResponse<String>> second = send(a, keyed(a, key));
        Fixture.await(() -> a.metrics.meter("caller.requests").getCount() == 2);
        call.bytes("ped");
        call.answer().onComplete();
        assertEquals("stopped", second.get().body());
        assertEquals("stopped", send(a, keyed(a, key)).get().body());
        assertTrue(a.gate.nothingSubmitted());
        assertTrue(a.gate.gone.isEmpty());
    }

    @Test
    void anotherBodyOrCustomerDoesNotGetTheAnswer() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.gate.next().whole(200, "text/plain", "stopped");
        first.get();
        refused(send(a, stop(a, Fixture.KEY_ONE, "Request-Key", key, "stop 8")), ErrorType.KEY_IN_USE, "not-run");
        CompletableFuture<HttpResponse<String>> other = send(a, stop(a, Fixture.KEY_TWO, "Request-Key", key, "stop 7"));
        FakeRequestSubmitter.Submitted own = a.gate.next();
        assertEquals("two", own.spec().customer().name());
        own.whole(200, "text/plain", "own");
        assertEquals("own", other.get().body());
    }

    // The first try never reached its home a; the retry goes to b. b asks a and says "not run", and the first try,
    // which
    // comes to a after all, is refused and runs never.
    @Test
    void aKeyDeclaredNotRunElsewhereNeverRuns() throws Exception {
        String key = a.key("k1");
        refused(send(b, keyed(b, key)), ErrorType.KEY_DEAD, "not-run");
        refused(send(a, keyed(a, key)), ErrorType.KEY_DEAD, "not-run");
        assertTrue(a.gate.nothingSubmitted());
        assertTrue(b.gate.nothingSubmitted());
    }

    @Test
    void aRetryElsewhereIsSentToTheHome() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        FakeRequestSubmitter.Submitted call = a.gate.next();
        HttpResponse<String> elsewhere = send(b, keyed(b, key)).get();
        assertEquals(307, elsewhere.statusCode());
        assertEquals(
                "http://" + a.server.boundAddress() + "/services/cell-gateway/stop",
                elsewhere.headers().firstValue("Location").orElseThrow());
        refused(CompletableFuture.completedFuture(elsewhere), ErrorType.KEY_AT_HOME, "unknown");
        call.whole(200, "text/plain", "stopped");
        assertEquals("stopped", first.get().body());
    }

    // The home does not answer: it may have begun the request, so nothing but "unknown" is true, with a time to ask
    // again.
    @Test
    void aSilentHomeLeavesItUnknown() throws Exception {
        String key = a.key("k1");
        peers.silence(InstanceId.of("a"));
        CompletableFuture<HttpResponse<String>> retry = send(b, keyed(b, key));
        refused(retry, ErrorType.KEY_OUTCOME_UNKNOWN, "unknown");
        assertEquals("2", retry.get().headers().firstValue("Retry-After").orElseThrow());
    }

    // The home was restarted since it gave out the key. What its earlier incarnation did is known to nobody, now or
    // later.
    @Test
    void aRestartedHomeLeavesItUnknownForGood() throws Exception {
        String key = a.key("k1").replace(":7:", ":6:");
        for (Fixture at : List.of(a, b)) {
            CompletableFuture<HttpResponse<String>> retry = send(at, keyed(at, key));
            refused(retry, ErrorType.KEY_OUTCOME_UNKNOWN, "unknown");
            assertFalse(retry.get().headers().firstValue("Retry-After").isPresent());
        }
    }

    // The first try is refused "not run" by a full queue; its caller may have acted on that, so the same key never
    // runs.
    @Test
    void aRequestThatEndedNotRunIsNotBegunAgain() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.gate.next().answer().onFailure(Failure.notRun(ErrorType.WAIT_TIMEOUT, 1_000, ""));
        refused(first, ErrorType.WAIT_TIMEOUT, "not-run");
        refused(send(a, keyed(a, key)), ErrorType.KEY_DEAD, "not-run");
    }

    // A retry is malformed while the first try runs: its refusal must not say "not run" of the request.
    @Test
    void aRefusedRetryOfARunningRequestSaysUnknown() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        FakeRequestSubmitter.Submitted call = a.gate.next();
        HttpRequest malformed = a.request("/services/cell-gateway/stop")
                .header("Request-Key", key)
                .header("Repeatable", "perhaps")
                .build();
        refused(send(a, malformed), ErrorType.MALFORMED_REQUEST, "unknown");
        call.whole(200, "text/plain", "stopped");
        first.get();
    }

    // The caller goes for good. A repeatable request is given up after the grace time; one that must not be repeated
    // goes on, and its answer is there for whoever asks by the key.
    @Test
    void onlyARepeatableRequestIsGivenUpAfterTheGrace() throws Exception {
        long given = abandon("Repeatable: yes", "k1");
        long kept = abandon("Repeatable: no", "k2");
        Fixture.await(() -> a.gate.gone.contains(given));
        abandonAgain();
        assertFalse(a.gate.gone.contains(kept));
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
            return a.gate.next().spec().requestId();
        }
    }

    /** A second repeatable request that is given up: by then the first one's grace is over too. */
    private void abandonAgain() throws IOException, InterruptedException {
        long again = abandon("Repeatable: yes", "k3");
        Fixture.await(() -> a.gate.gone.contains(again));
    }

    @Test
    void anAnswerTooLargeToKeepIsNotGivenAgainInPart() throws Exception {
        String key = a.key("k1");
        CompletableFuture<HttpResponse<String>> first = send(a, keyed(a, key));
        a.gate.next().whole(200, "text/plain", "x".repeat(1_001));
        assertEquals(1_001, first.get().body().length());
        refused(send(a, keyed(a, key)), ErrorType.ANSWER_NOT_KEPT, "unknown");
    }

    // Two tries with the caller's own key at two instances: one runs, the other is sent to where it runs.
    @Test
    void anIdempotencyKeyRunsOnceInTheFleet() throws Exception {
        HttpRequest atA = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        CompletableFuture<HttpResponse<String>> first = send(a, atA);
        FakeRequestSubmitter.Submitted call = a.gate.next();
        HttpResponse<String> second = send(b, stop(b, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7"))
                .get();
        assertEquals(307, second.statusCode());
        CompletableFuture<HttpResponse<String>> third = send(a, atA);
        call.whole(200, "text/plain", "stopped");
        assertEquals("stopped", first.get().body());
        assertEquals("stopped", third.get().body());
        assertTrue(a.gate.nothingSubmitted());
        assertTrue(b.gate.nothingSubmitted());
    }

    // The claim's answer is lost, so the refusal says "not run". The claim had taken effect: a retry finds the dead
    // request behind it and is told to come again, until the claim is taken back.
    @Test
    void aClaimWhoseAnswerWasLostNeverRuns() throws Exception {
        claimsDown = true;
        HttpRequest request = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        refused(send(a, request), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        claimsDown = false;
        refused(send(a, request), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        HttpRequest atB = stop(b, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        refused(send(b, atB), ErrorType.CLAIM_UNAVAILABLE, "not-run");
        assertTrue(a.gate.nothingSubmitted());
        claimed.clear();
        CompletableFuture<HttpResponse<String>> later = send(a, request);
        a.gate.next().whole(200, "text/plain", "stopped");
        assertEquals("stopped", later.get().body());
    }

    // A request with the caller's own key is refused by a full queue. The caller's next try is the same purpose with
    // the same key, and must be able to run.
    @Test
    void anIdempotencyKeyOfARequestThatDidNotRunIsFreeAgain() throws Exception {
        HttpRequest request = stop(a, Fixture.KEY_ONE, "Idempotency-Key", "mine", "stop 7");
        CompletableFuture<HttpResponse<String>> first = send(a, request);
        a.gate.next().answer().onFailure(Failure.notRun(ErrorType.CUSTOMER_QUEUE_FULL, 1_000, "9"));
        refused(first, ErrorType.CUSTOMER_QUEUE_FULL, "not-run");
        CompletableFuture<HttpResponse<String>> second = send(a, request);
        a.gate.next().whole(200, "text/plain", "stopped");
        assertEquals("stopped", second.get().body());
    }

    @Test
    void aKeyThatIsNoneIsRefused() throws Exception {
        refused(send(a, keyed(a, "no key")), ErrorType.MALFORMED_REQUEST, "not-run");
        refused(send(a, keyed(a, a.key("~~1"))), ErrorType.MALFORMED_REQUEST, "not-run");
    }
}
