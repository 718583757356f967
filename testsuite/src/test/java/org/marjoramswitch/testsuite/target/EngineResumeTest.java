package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.testkit.engine.EngineFault;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

/** Attempts at an engine that reports the state of a request and resumes its response. */
class EngineResumeTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private static final long SHORT_TIMEOUT_MS = 200;
    private static final int TOKENS = 12;
    private static final int LONG_RESPONSE_TOKENS = 400;
    private static final int ENDLESS_TOKENS = 4_000;

    private final EngineOptions engineOptions = EngineOptions.defaults().stepMs(2);
    private ModelEngine engine;
    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        engine = ModelEngine.start(engineOptions);
        fixture = new TargetFixture(TargetClientOptions.defaults());
    }

    @AfterEach
    void stop() {
        fixture.close();
        engine.close();
    }

    private void assertCompleteAndExecutedOnce(TargetCall call, RecordedAttempt attempt) throws Exception {
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
        assertEquals(ModelEngine.expectedText(call.body(), engineOptions), TargetFixture.contentOf(attempt.text()));
        assertEquals(1, engine.counts().started());
    }

    private void assertResumedAfter(EngineFault fault, boolean streaming) throws Exception {
        engine.setFault(fault);
        TargetCall call = fixture.chat(TOKENS, streaming);
        assertCompleteAndExecutedOnce(call, fixture.run(engine.port(), LONG_TIMEOUT_MS, call));
        assertEquals(1, fixture.count("targets.answers.resumed"));
    }

    @Test
    void brokenStreamIsResumedOverAnotherConnection() throws Exception {
        // The connection breaks after three tokens while the engine continues. The response is resumed at the fourth
        // token: the caller receives every token once, and the request is executed once.
        assertResumedAfter(EngineFault.BREAK_OFF, true);
    }

    @Test
    void brokenUnstreamedResponseIsFetchedAgain() throws Exception {
        // The connection breaks in the middle of an unstreamed response. Its first half was not delivered; the engine
        // still has the response and sends it again without executing the request again.
        assertResumedAfter(EngineFault.BREAK_OFF, false);
    }

    @Test
    void crossedResponseIsReplacedByTheOwnOne() throws Exception {
        // The response carries another request's id. It is discarded, and the own response is requested by id.
        assertResumedAfter(EngineFault.WRONG_REQUEST_ID, true);
    }

    @Test
    void silentStreamIsResumedOverAnotherConnection() throws Exception {
        // The connection goes silent in the middle of the stream while the engine continues. After the deadline the
        // engine reports more tokens than were received, so the connection is at fault; the rest arrives over a new
        // one.
        TargetCall call = fixture.chat(LONG_RESPONSE_TOKENS, true);
        RecordedAttempt attempt = fixture.run(engine.port(), SHORT_TIMEOUT_MS, call);
        attempt.awaitFirstBytes();
        engine.server().silenceOpenConnections();
        assertCompleteAndExecutedOnce(call, attempt);
    }

    @Test
    void silentUnstreamedResponseIsFetchedOverAnotherConnection() throws Exception {
        // The connection goes silent while the engine generates an unstreamed response. The engine reports progress
        // until it has completed the request; as the response has not arrived by then, it is fetched over a new
        // connection.
        TargetCall call = fixture.chat(LONG_RESPONSE_TOKENS / 2, false);
        RecordedAttempt attempt = fixture.run(engine.port(), SHORT_TIMEOUT_MS, call);
        TargetFixture.await(() -> engine.counts().started() == 1);
        engine.server().silenceOpenConnections();
        assertCompleteAndExecutedOnce(call, attempt);
    }

    @Test
    void restartOfTheEngineEndsTheResponse() throws Exception {
        // The engine restarts without state in the middle of the stream. A status query shows that it does not know the
        // request: the rest is silent, and the outcome is "broken".
        RecordedAttempt attempt = fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(ENDLESS_TOKENS, true));
        attempt.awaitFirstBytes();
        engine.restartEmpty();
        assertEquals(TargetOutcome.BROKEN_IN_ANSWER, attempt.outcome());
    }

    @Test
    void attemptEndsIfTheResumeCallIsSilentToo() throws Exception {
        // The connection goes silent, its close does not arrive either, and the engine does not respond to the resume
        // call. Without any progress the attempt ends; the request is cancelled over a new connection, or the engine
        // would complete it in vain.
        RecordedAttempt attempt = fixture.run(engine.port(), SHORT_TIMEOUT_MS, fixture.chat(ENDLESS_TOKENS, true));
        attempt.awaitFirstBytes();
        engine.server().silenceOpenConnections();
        engine.setFault(EngineFault.HANG);
        assertEquals(TargetOutcome.SILENT_IN_ANSWER, attempt.outcome());
        TargetFixture.await(() -> engine.counts().cancelled() == 1);
        assertEquals(0, engine.counts().completed());
    }

    @Test
    void otherIdleConnectionsOfASilentTargetAreNotUsed() throws Exception {
        // Two pooled connections go silent together. A request on the first one ends at its deadline, since the engine
        // never received it; the next request must not use the second one.
        RecordedAttempt one = fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(LONG_RESPONSE_TOKENS / 8, true));
        RecordedAttempt other =
                fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(LONG_RESPONSE_TOKENS / 8, true));
        one.outcome();
        other.outcome();
        engine.server().silenceOpenConnections();
        RecordedAttempt silent = fixture.run(engine.port(), SHORT_TIMEOUT_MS, fixture.chat(TOKENS, true));
        assertEquals(TargetOutcome.SILENT_BEFORE_ANSWER, silent.outcome());
        assertEquals(
                TargetOutcome.COMPLETED,
                fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(TOKENS, true))
                        .outcome());
        assertEquals(2, fixture.count("targets.connections.expired"));
    }
}
