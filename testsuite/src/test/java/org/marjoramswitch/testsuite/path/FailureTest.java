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
import org.marjoramswitch.testsuite.path.TestCaller.Answer;

/** Failures over real sockets, each with several daemons in this process. */
class FailureTest {
    private static final String CUSTOMER = "quai-nord";
    private static final String FLOODER = "grande-ligne";
    private TestFleet fleet;

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Callers at the surviving instances see whole answers and no failure. The arbiter of their cell is killed while
     * they wait and while answers stream; the entries find the link down, register with the next instance in rank and
     * are granted there. Answers under way do not pass the arbiter and go on.
     */
    @Test
    void killingTheArbiterCutsNobody() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        fleet.caller("entry-1", CUSTOMER).chat(body(0, 2)).join();
        TestFleet.await("an arbiter", () -> !fleet.arbiterOf(TestFleet.MODEL).isEmpty());
        String arbiter = fleet.arbiterOf(TestFleet.MODEL);
        List<TestCaller> callers = fleet.callersExcept(arbiter, CUSTOMER);
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 2).chat(body(number, 20)));
        TestFleet.await("answers", () -> load.ended() >= 50);
        fleet.kill(arbiter);
        int before = load.ended();
        TestFleet.await("answers after the change", () -> load.ended() >= before + 100);
        assertAllAnswered(load.stop());
    }

    /**
     * The caller sees its connection break or an error in the stream, never an end that looks whole. Its entry is killed
     * after the first tokens; nobody else can go on with the answer, as the caller holds a part of it.
     */
    @Test
    void killingTheEntryNeverMakesAnAnswerLookWhole() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(20), CUSTOMER).startInstances(2);
        CompletableFuture<Answer> call = fleet.caller("entry-1", CUSTOMER).chat(body(1, 1_000));
        TestFleet.await("tokens", () -> fleet.engines().get(0).counts().outputTokens() > 5);
        fleet.kill("entry-1");
        Answer answer = call.join();
        assertTrue(answer.brokenOff(), answer.toString());
        assertTrue(fleet.caller("entry-2", CUSTOMER).chat(body(2, 5)).join().answered());
    }

    /**
     * Callers see whole answers. One of two targets dies under load, with answers not begun and answers under way on it;
     * the former are tried again on the other within the retry budget and refused as not run beyond it, and only answers
     * that the caller already had a part of end broken.
     */
    @Test
    void aTargetThatDiesCutsOnlyAnswersThatHadBegun() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(2);
        TestLoad load =
                TestLoad.start(24, number -> fleet.caller("entry-1", CUSTOMER).chat(body(number, 20)));
        TestFleet.await("answers", () -> load.answered() >= 50);
        fleet.engines().get(0).close();
        long before = load.answered();
        TestFleet.await("answers after the death", () -> load.answered() >= before + 100);
        for (Answer answer : load.stop()) {
            assertTrueToCaller(answer);
        }
    }

    /**
     * The caller sees one whole answer, later than usual. The target takes the request and never sends a byte; after the
     * progress timeout the entry gives it up and, as the request may be repeated, tries the other target.
     */
    @Test
    void aSilentTargetIsGivenUpForAnother() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(2);
        fleet.engines().get(0).setFault(EngineFault.HANG);
        List<CompletableFuture<Answer>> calls = IntStream.range(0, 8)
                .mapToObj(i -> fleet.caller("entry-1", CUSTOMER).chat(body(i, 10)))
                .toList();
        assertAllAnswered(calls.stream().map(CompletableFuture::join).toList());
    }

    /**
     * The caller sees one whole answer. The target's connection breaks in the middle of it; the target still runs the
     * request, so the entry has it resumed at the first token that did not come, and no token comes twice.
     */
    @Test
    void anAnswerWhoseConnectionBreaksIsResumed() throws Exception {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(2);
        fleet.engines().get(0).setFault(EngineFault.BREAK_OFF);
        byte[] body = body(1, 50);
        Answer answer = fleet.caller("entry-2", CUSTOMER).chat(body).join();
        assertAllAnswered(List.of(answer));
        assertEquals(ModelEngine.expectedText(body, fleet.engineOptions()), answer.text());
    }

    /**
     * The caller sees the tokens that came and then an error in the stream, never the end mark. The target loses the
     * request in the middle of its answer; a second attempt would weave two answers into one.
     */
    @Test
    void anAnswerThatBreaksOffIsMarked() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(10), CUSTOMER).startInstances(2);
        CompletableFuture<Answer> call = fleet.caller("entry-2", CUSTOMER).chat(body(1, 2_000));
        TestFleet.await("tokens", () -> fleet.engines().get(0).counts().outputTokens() > 5);
        fleet.engines().get(0).restartEmpty();
        Answer answer = call.join();
        assertTrue(answer.brokenOff(), answer.toString());
        assertTrue(answer.body().contains("\"run\":\"unknown\""), answer.toString());
    }

    /**
     * The caller of a call that must not run twice sees a failure with an unknown outcome, and the service counts one
     * execution at most. The service breaks the connection after it ran the call; to try again could run it twice.
     */
    @Test
    void aServiceCallWithUnknownOutcomeIsNotTriedAgain() {
        fleet = TestFleet.of(1, EngineOptions.defaults(), CUSTOMER).startInstances(2);
        fleet.service().setFault(ServiceFault.BREAK_AFTER_EXECUTING);
        Answer answer = fleet.caller("entry-2", CUSTOMER).service("note-1").join();
        assertEquals(502, answer.status(), answer.toString());
        assertEquals("unknown", answer.run());
        assertEquals(Map.of("note-1", 1), fleet.service().executions());
    }

    /**
     * Callers see whole answers or refusals that say "not run", and no connection breaks. One of three instances gets
     * its planned stop under load: it says that it leaves, refuses what is new, finishes what it has and only then
     * closes.
     */
    @Test
    void aPlannedStopUnderLoadCutsNothing() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        List<TestCaller> callers =
                fleet.names().stream().map(name -> fleet.caller(name, CUSTOMER)).toList();
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 3).chat(body(number, 20)));
        TestFleet.await("answers", () -> load.ended() >= 50);
        Daemon leaving = fleet.daemon("entry-1");
        leaving.drain();
        assertTrue(leaving.drained().join());
        List<Answer> answers = load.stop();
        assertTrue(answers.stream().anyMatch(answer -> answer.status() == 503), "none met the leaving instance");
        for (Answer answer : answers) {
            assertFalse(answer.broken(), answer.toString());
            assertTrue(answer.answered() || answer.run().equals("not-run"), answer.toString());
        }
    }

    /**
     * Callers see whole answers throughout. The platform's service is away; then an instance is killed and comes back
     * empty, with nobody to ask but its peers. They still know its address, probe it and hand it the settings in force.
     */
    @Test
    void anInstanceRestartsEmptyWhileThePlatformIsAway() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(3);
        fleet.platform().refuseConnections();
        assertTrue(fleet.caller("entry-1", CUSTOMER).chat(body(1, 5)).join().answered());
        Daemon restarted = fleet.restartInstance("entry-1");
        TestFleet.await("settings from a peer", restarted::isReady);
        Answer answer = fleet.caller("entry-1", CUSTOMER).chat(body(2, 5)).join();
        assertTrue(answer.answered(), answer.toString());
        assertTrue(fleet.caller("entry-2", CUSTOMER).chat(body(3, 5)).join().answered());
    }

    /**
     * The caller is refused as not run, with the time to come back, and is answered once the platform's service is back.
     * The first instance of a fleet starts while that service is away, so nobody can give it settings: without them it
     * knows no customer, and to say so of an API key would send its caller away for good.
     */
    @Test
    void theFirstInstanceWaitsForThePlatform() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1), CUSTOMER);
        fleet.platform().answerUnavailable();
        Daemon first = fleet.startInstance("entry-1");
        Answer refused = fleet.caller("entry-1", CUSTOMER).chat(body(1, 5)).join();
        assertEquals(503, refused.status(), refused.toString());
        assertEquals("not-run", refused.run());
        assertTrue(refused.retryAfterSeconds() > 0, refused.toString());
        assertFalse(first.isReady());
        fleet.platform().recover();
        TestFleet.await("settings from the platform", first::isReady);
        assertTrue(fleet.caller("entry-1", CUSTOMER).chat(body(2, 5)).join().answered());
    }

    /**
     * Callers see whole answers, and only such as had begun on the dead target end broken. The pool's arbiter and one
     * of its two targets die together, under load: the entries find the next arbiter, which learns from them what is in
     * flight, and requests without an answer's first byte go to the target that is left.
     */
    @Test
    void anArbiterAndATargetDieTogether() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(3);
        fleet.caller("entry-1", CUSTOMER).chat(body(0, 2)).join();
        TestFleet.await("an arbiter", () -> !fleet.arbiterOf(TestFleet.MODEL).isEmpty());
        String arbiter = fleet.arbiterOf(TestFleet.MODEL);
        List<TestCaller> callers = fleet.callersExcept(arbiter, CUSTOMER);
        TestLoad load = TestLoad.start(24, number -> callers.get(number % 2).chat(body(number, 20)));
        TestFleet.await("answers", () -> load.answered() >= 50);
        fleet.kill(arbiter);
        fleet.engines().get(0).close();
        long before = load.answered();
        TestFleet.await("answers after both deaths", () -> load.answered() >= before + 100);
        for (Answer answer : load.stop()) {
            assertTrueToCaller(answer);
        }
    }

    /**
     * Callers see whole answers. A target is listed as leaving under load; what runs there goes on to its end, and a
     * few seconds later it has nothing and gets nothing new.
     */
    @Test
    void aLeavingTargetGetsNoNewWork() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER)
                .startInstances(2);
        TestLoad load =
                TestLoad.start(24, number -> fleet.caller("entry-1", CUSTOMER).chat(body(number, 20)));
        TestFleet.await("work on both", () -> started(0) > 20 && started(1) > 20);
        fleet.platform().putTarget("engine-1", "leaving");
        TestFleet.await("answers by the other alone", () -> {
            long before = started(0);
            long other = started(1);
            TestFleet.await("more answers", () -> started(1) >= other + 50);
            return started(0) == before;
        });
        assertAllAnswered(load.stop());
    }

    /**
     * The small customer sees every request answered while another one floods the fleet. The flooder's own queue fills
     * and it alone is refused, at once, as not run and with the time to come back.
     */
    @Test
    void aFloodingCustomerIsRefusedAlone() {
        fleet = TestFleet.of(1, EngineOptions.defaults().stepMs(1).maxBatch(4), CUSTOMER, FLOODER);
        fleet.document().withObject("/customers/" + FLOODER).put("maxQueued", 20);
        fleet.putSettings();
        fleet.startInstances(2);
        TestLoad flood =
                TestLoad.start(200, number -> fleet.caller("entry-1", FLOODER).chat(body(number, 20)));
        TestFleet.await("refusals", () -> flood.ended() > 200);
        TestLoad small =
                TestLoad.start(2, number -> fleet.caller("entry-2", CUSTOMER).chat(body(number, 10)));
        TestFleet.await("answers to the small customer", () -> small.ended() >= 40);
        assertAllAnswered(small.stop());
        List<Answer> refused =
                flood.stop().stream().filter(answer -> !answer.answered()).toList();
        assertFalse(refused.isEmpty());
        for (Answer answer : refused) {
            assertEquals(429, answer.status(), answer.toString());
            assertEquals("not-run", answer.run());
            assertTrue(answer.retryAfterSeconds() > 0, answer.toString());
        }
    }

    /** A whole answer, a marked part of one, or a refusal as not run where the targets that are left are not enough. */
    private static void assertTrueToCaller(Answer answer) {
        boolean refused = answer.status() == 503 && answer.run().equals("not-run");
        assertTrue(answer.answered() || answer.brokenOff() || refused, answer.toString());
    }

    private long started(int engine) {
        return fleet.engines().get(engine).counts().started();
    }

    private static void assertAllAnswered(List<Answer> answers) {
        for (Answer answer : answers) {
            assertTrue(answer.answered(), answer.toString());
            assertTrue(answer.body().stripTrailing().endsWith("[DONE]"), answer.toString());
        }
    }

    private static byte[] body(int number, int tokens) {
        return TestCaller.chatBody("question " + number, tokens, true);
    }
}
