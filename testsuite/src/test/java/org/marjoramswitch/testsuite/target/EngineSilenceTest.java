package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

class EngineSilenceTest {
    private static final long SHORT_TIMEOUT_MS = 200;
    /** Takes longer than several progress timeouts. */
    private static final int LONG_RESPONSE_TOKENS = 400;

    private ModelEngine engine;
    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        engine = ModelEngine.start(EngineOptions.defaults().stepMs(2).maxBatch(1));
        fixture = new TargetFixture(TargetClientOptions.defaults());
    }

    @AfterEach
    void stop() {
        fixture.close();
        engine.close();
    }

    private RecordedAttempt run(int tokens, boolean streaming) {
        return fixture.run(engine.port(), SHORT_TIMEOUT_MS, fixture.chat(tokens, streaming));
    }

    @Test
    void longUnstreamedResponseOutlastsTheProgressTimeout() throws Exception {
        // An unstreamed response arrives only at its end, after several progress timeouts without a byte. Each status
        // query shows more tokens than the previous one, so the attempt keeps waiting and the response is delivered.
        RecordedAttempt attempt = run(LONG_RESPONSE_TOKENS, false);
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
        assertEquals(LONG_RESPONSE_TOKENS, attempt.usage().outputTokens());
        assertEquals(1, engine.counts().started());
    }

    @Test
    void requestInTheEnginesQueueOutlastsTheProgressTimeout() throws Exception {
        // Another request occupies the only slot of the batch. The second one is silent for more than a timeout while
        // it waits in the engine's queue; the engine reports this, and the attempt keeps waiting.
        RecordedAttempt first = run(LONG_RESPONSE_TOKENS / 2, true);
        first.awaitFirstBytes();
        RecordedAttempt second = run(1, true);
        assertEquals(TargetOutcome.COMPLETED, second.outcome());
        assertEquals(TargetOutcome.COMPLETED, first.outcome());
    }
}
