package org.marjoramswitch.testsuite.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.Daemon;
import org.marjoramswitch.testkit.engine.EngineFault;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;
import org.marjoramswitch.testkit.service.ServiceFault;
import org.marjoramswitch.testsuite.path.TestCaller.Response;

/** Failure scenarios over real sockets, each with several daemons in this process. */
class FailureTest {
    private static final String CUSTOMER = "quai-nord";
    private static final String FLOODING_CUSTOMER = "grande-ligne";
    private TestFleet fleet;

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against failed requests at the surviving instances when the arbiter of their cell is killed while
     * requests wait and responses stream. The entries detect the broken link, register with the next instance in rank
     * and get their grants there. Responses in progress do not pass through the arbiter and continue.
     */
    @Test
    void requestsSurviveAKilledArbiter() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        fleet.caller("entry-1", CUSTOMER).chat(body(0, 2)).join();
        TestFleet.await("an arbiter", () -> !fleet.arbiterOf(TestFleet.MODEL).isEmpty());
        String arbiter = fleet.arbiterOf(TestFleet.MODEL);
        List<TestCaller> callers = fleet.callersExcept(arbiter, CUSTOMER);
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 2).chat(body(number, 20)));
        TestFleet.await("responses", () -> load.ended() >= 50);
        fleet.kill(arbiter);
        int before = load.ended();
        TestFleet.await("responses after the change of arbiter", () -> load.ended() >= before + 100);
        assertAllComplete(load.stop());
    }

    /**
     * Guards against a truncated response that looks complete when the entry instance is killed after the first
     * tokens. The caller already has a part of the response, so no other instance can continue it: the caller sees
     * its connection break or an error in the stream.
     */
    @Test
    void responseOfAKilledEntryIsVisiblyTruncated() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(20), CUSTOMER).startInstances(2);
        CompletableFuture<Response> call = fleet.caller("entry-1", CUSTOMER).chat(body(1, 1_000));
        TestFleet.await("tokens", () -> fleet.engines().get(0).counts().outputTokens() > 5);
        fleet.kill("entry-1");
        Response response = call.join();
        assertTrue(response.isTruncated(), response.toString());
        assertTrue(fleet.caller("entry-2", CUSTOMER).chat(body(2, 5)).join().isSuccessful());
    }

    /**
     * Guards against needlessly failed requests when one of two targets crashes under load. Requests whose response
     * has not started are retried on the other target within the retry budget and rejected as not run beyond it. Only
     * responses of which the caller already has a part end truncated.
     */
    @Test
    void crashedTargetTruncatesOnlyStartedResponses() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(2);
        TestLoad load =
                TestLoad.start(24, number -> fleet.caller("entry-1", CUSTOMER).chat(body(number, 20)));
        TestFleet.await("responses", () -> load.successful() >= 50);
        fleet.engines().get(0).close();
        long before = load.successful();
        TestFleet.await("responses after the crash", () -> load.successful() >= before + 100);
        for (Response response : load.stop()) {
            assertCompleteOrMarkedAsFailed(response);
        }
    }

    /**
     * Guards against waiting for a target that accepts a request and never sends a byte. After the progress timeout
     * the entry abandons the attempt and, as the request may be repeated, tries the other target; the response is
     * complete but late.
     */
    @Test
    void requestOnASilentTargetIsRetriedAtAnother() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(2);
        fleet.engines().get(0).setFault(EngineFault.HANG);
        List<CompletableFuture<Response>> calls = IntStream.range(0, 8)
                .mapToObj(i -> fleet.caller("entry-1", CUSTOMER).chat(body(i, 10)))
                .toList();
        assertAllComplete(calls.stream().map(CompletableFuture::join).toList());
    }

    /**
     * Guards against a truncated response when the connection to the target breaks in the middle of it. The target
     * still runs the request, so the entry resumes the response at the first missing token, and no token is delivered
     * twice.
     */
    @Test
    void responseIsResumedAfterABrokenConnection() throws Exception {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(2);
        fleet.engines().get(0).setFault(EngineFault.BREAK_OFF);
        byte[] body = body(1, 50);
        Response response = fleet.caller("entry-2", CUSTOMER).chat(body).join();
        assertAllComplete(List.of(response));
        assertEquals(ModelEngine.expectedText(body, fleet.engineOptions()), response.text());
    }

    /**
     * Guards against an end mark after a truncated response. The target loses the request in the middle of its
     * response; a second attempt would mix two responses. The caller gets the received tokens and then an error in
     * the stream.
     */
    @Test
    void truncatedResponseEndsWithAnError() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(10), CUSTOMER).startInstances(2);
        CompletableFuture<Response> call = fleet.caller("entry-2", CUSTOMER).chat(body(1, 2_000));
        TestFleet.await("tokens", () -> fleet.engines().get(0).counts().outputTokens() > 5);
        fleet.engines().get(0).restartEmpty();
        Response response = call.join();
        assertTrue(response.isTruncated(), response.toString());
        assertTrue(response.body().contains("\"run\":\"unknown\""), response.toString());
    }

    /**
     * Guards against executing a non-repeatable call twice. The service closes the connection after executing the
     * call; a retry could run it again. The caller gets a failure with unknown outcome, and the service counts one
     * execution.
     */
    @Test
    void serviceCallWithUnknownOutcomeIsNotRetried() {
        fleet = TestFleet.of(1, EngineOptions.defaults(), CUSTOMER).startInstances(2);
        fleet.service().setFault(ServiceFault.BREAK_AFTER_EXECUTING);
        Response response = fleet.caller("entry-2", CUSTOMER).service("note-1").join();
        assertEquals(502, response.status(), response.toString());
        assertEquals("unknown", response.run());
        assertEquals(Map.of("note-1", 1), fleet.service().executions());
    }

    /**
     * Guards against broken connections in a planned shutdown of one of three instances under load. The instance
     * announces that it is draining, rejects new requests, completes open ones and only then exits. Callers get
     * complete responses or rejections marked "not run".
     */
    @Test
    void plannedShutdownUnderLoadBreaksNoConnection() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        List<TestCaller> callers =
                fleet.names().stream().map(name -> fleet.caller(name, CUSTOMER)).toList();
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 3).chat(body(number, 20)));
        TestFleet.await("responses", () -> load.ended() >= 50);
        Daemon draining = fleet.daemon("entry-1");
        draining.drain();
        assertTrue(draining.drained().join());
        List<Response> responses = load.stop();
        assertTrue(
                responses.stream().anyMatch(response -> response.status() == 503),
                "no request reached the draining instance");
        for (Response response : responses) {
            assertFalse(response.broken(), response.toString());
            assertTrue(response.isSuccessful() || response.run().equals("not-run"), response.toString());
        }
    }

    /**
     * Guards against an instance that cannot serve after a restart while the key-value store is unreachable. The
     * instance restarts without state; its peers still know its address, probe it and send it the settings in force.
     */
    @Test
    void instanceRestartedWithoutStateGetsSettingsFromPeers() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(3);
        fleet.platform().refuseConnections();
        assertTrue(fleet.caller("entry-1", CUSTOMER).chat(body(1, 5)).join().isSuccessful());
        Daemon restarted = fleet.restartInstance("entry-1");
        TestFleet.await("settings from a peer", restarted::isReady);
        Response response = fleet.caller("entry-1", CUSTOMER).chat(body(2, 5)).join();
        assertTrue(response.isSuccessful(), response.toString());
        assertTrue(fleet.caller("entry-2", CUSTOMER).chat(body(3, 5)).join().isSuccessful());
    }

    /**
     * Guards against rejecting a valid API key as unknown. The first instance of a fleet starts while the key-value
     * store is unreachable, so it has no settings and knows no customer. The caller is rejected as not run, with
     * Retry-After, and is served once the store is reachable again.
     */
    @Test
    void firstInstanceWaitsForTheStore() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER);
        fleet.platform().respondUnavailable();
        Daemon first = fleet.startInstance("entry-1");
        Response rejected = fleet.caller("entry-1", CUSTOMER).chat(body(1, 5)).join();
        assertEquals(503, rejected.status(), rejected.toString());
        assertEquals("not-run", rejected.run());
        assertTrue(rejected.retryAfterSeconds() > 0, rejected.toString());
        assertFalse(first.isReady());
        fleet.platform().recover();
        TestFleet.await("settings from the platform", first::isReady);
        assertTrue(fleet.caller("entry-1", CUSTOMER).chat(body(2, 5)).join().isSuccessful());
    }

    /**
     * Guards against needlessly failed requests when the pool's arbiter and one of its two targets crash together
     * under load. The entries register with the next arbiter and report their requests in flight; requests without a
     * first response byte go to the remaining target. Only responses that had started on the crashed target end
     * truncated.
     */
    @Test
    void requestsSurviveACrashedArbiterAndTarget() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        fleet.caller("entry-1", CUSTOMER).chat(body(0, 2)).join();
        TestFleet.await("an arbiter", () -> !fleet.arbiterOf(TestFleet.MODEL).isEmpty());
        String arbiter = fleet.arbiterOf(TestFleet.MODEL);
        List<TestCaller> callers = fleet.callersExcept(arbiter, CUSTOMER);
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 2).chat(body(number, 20)));
        TestFleet.await("responses", () -> load.successful() >= 50);
        fleet.kill(arbiter);
        fleet.engines().get(0).close();
        long before = load.successful();
        TestFleet.await("responses after both crashes", () -> load.successful() >= before + 100);
        for (Response response : load.stop()) {
            assertCompleteOrMarkedAsFailed(response);
        }
    }

    /**
     * Guards against placing requests on a draining target. A target is listed as leaving under load; its running
     * requests complete, and a few seconds later it is idle and gets no new ones.
     */
    @Test
    void drainingTargetGetsNoNewRequests() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(2);
        TestLoad load =
                TestLoad.start(24, number -> fleet.caller("entry-1", CUSTOMER).chat(body(number, 20)));
        TestFleet.await("work on both", () -> started(0) > 20 && started(1) > 20);
        fleet.platform().putTarget("engine-1", "leaving");
        TestFleet.await("responses by the other target alone", () -> {
            long before = started(0);
            long other = started(1);
            TestFleet.await("more responses", () -> started(1) >= other + 50);
            return started(0) == before;
        });
        assertAllComplete(load.stop());
    }

    /**
     * Guards against rejecting a small customer's requests while another customer floods the fleet. Only the flooding
     * customer's queue fills, and only its requests are rejected: immediately, as not run and with Retry-After.
     */
    @Test
    void onlyTheFloodingCustomerIsRejected() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER, FLOODING_CUSTOMER);
        fleet.document().withObject("/customers/" + FLOODING_CUSTOMER).put("maxQueued", 20);
        fleet.putSettings();
        fleet.startInstances(2);
        TestLoad flood = TestLoad.start(
                200, number -> fleet.caller("entry-1", FLOODING_CUSTOMER).chat(body(number, 20)));
        TestFleet.await("rejections", () -> flood.ended() > 200);
        TestLoad small =
                TestLoad.start(2, number -> fleet.caller("entry-2", CUSTOMER).chat(body(number, 10)));
        TestFleet.await("responses to the small customer", () -> small.ended() >= 40);
        assertAllComplete(small.stop());
        List<Response> rejected = flood.stop().stream()
                .filter(response -> !response.isSuccessful())
                .toList();
        assertFalse(rejected.isEmpty());
        for (Response response : rejected) {
            assertEquals(429, response.status(), response.toString());
            assertEquals("not-run", response.run());
            assertTrue(response.retryAfterSeconds() > 0, response.toString());
        }
    }

    /** Complete, visibly truncated, or rejected as not run because the remaining targets lack capacity. */
    private static void assertCompleteOrMarkedAsFailed(Response response) {
        boolean rejected = response.status() == 503 && response.run().equals("not-run");
        assertTrue(response.isSuccessful() || response.isTruncated() || rejected, response.toString());
    }

    private long started(int engine) {
        return fleet.engines().get(engine).counts().started();
    }

    private static void assertAllComplete(List<Response> responses) {
        for (Response response : responses) {
            assertTrue(response.isSuccessful(), response.toString());
            assertTrue(response.body().stripTrailing().endsWith("[DONE]"), response.toString());
        }
    }

    private static byte[] body(int number, int tokens) {
        return TestCaller.chatBody("question " + number, tokens, true);
    }
}
