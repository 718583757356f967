package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.LoadReader;
import org.marjoramswitch.daemon.target.LoadReaderOptions;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

/** Cost of attempts and status queries in connections and bytes; docs/TARGETS.md lists the figures. */
class ConnectionCountTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private static final int REQUESTS = 1_000;
    private static final int CONCURRENCY = 16;
    private static final int QUERIES = 20;
    private static final int MAX_BYTES_PER_QUERY = 400;

    @Test
    void requestsOpenNoMoreConnectionsThanTheirConcurrency() throws Exception {
        try (ModelEngine engine = ModelEngine.start(EngineOptions.defaults().stepMs(1));
                TargetFixture fixture = new TargetFixture(TargetClientOptions.defaults())) {
            AtomicLong completed = new AtomicLong();
            Semaphore slots = new Semaphore(CONCURRENCY);
            for (int i = 0; i < REQUESTS; i++) {
                slots.acquire();
                fixture.start(engine.port(), LONG_TIMEOUT_MS, fixture.chat(2, i % 2 == 0), new RecordedAttempt() {
                    @Override
                    public void onEnd(TargetOutcome outcome, Usage usage) {
                        completed.addAndGet(outcome == TargetOutcome.COMPLETED ? 1 : 0);
                        slots.release();
                    }
                });
            }
            slots.acquire(CONCURRENCY);
            long opened = fixture.count("targets.connections.opened");
            System.out.println("event=connection_count requests=" + REQUESTS + " at_once=" + CONCURRENCY + " opened="
                    + opened + " bytes_per_request=" + fixture.count("targets.attempts.bytes") / REQUESTS);
            assertEquals(REQUESTS, completed.get());
            assertTrue(opened <= CONCURRENCY);
            assertEquals(opened, engine.server().connectionsAccepted());
        }
    }

    @Test
    void statusQueriesAreSmallAndShareOneConnection() throws Exception {
        try (ModelEngine engine = ModelEngine.start(EngineOptions.defaults());
                TargetFixture fixture = new TargetFixture(TargetClientOptions.defaults());
                LoadReader reader = LoadReader.start(
                        fixture.client,
                        new LoadReaderOptions(10, 60_000, 1_000),
                        () -> System.nanoTime() / 1_000_000,
                        () -> List.of(TargetFixture.target(engine.port())),
                        event -> {})) {
            TargetFixture.await(() -> fixture.count("targets.questions.completed") >= QUERIES);
            long queries = fixture.count("targets.questions.completed");
            long bytes = fixture.count("targets.questions.bytes") / queries;
            System.out.println("event=question_count asked=" + queries + " bytes_per_question=" + bytes);
            assertTrue(bytes < MAX_BYTES_PER_QUERY);
            assertTrue(fixture.count("targets.connections.opened") <= 2);
        }
    }
}
