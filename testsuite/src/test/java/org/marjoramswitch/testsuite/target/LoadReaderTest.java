package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.LoadReader;
import org.marjoramswitch.daemon.target.LoadReaderOptions;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.event.Event.PrefixCached;
import org.marjoramswitch.kernel.event.Event.TargetReported;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;

class LoadReaderTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private static final int ENDLESS_TOKENS = 4_000;

    private final List<Event> events = new CopyOnWriteArrayList<>();
    private final AtomicInteger targetListReads = new AtomicInteger();
    private volatile List<TargetSettings> targets;
    private ModelEngine engine;
    private TargetFixture fixture;
    private LoadReader reader;

    @BeforeEach
    void start() throws Exception {
        EngineOptions options = EngineOptions.defaults()
                .stepMs(2)
                .maxBatch(2)
                .cacheEvents(10, 3)
                .loadReportEveryMs(20);
        engine = ModelEngine.start(options);
        fixture = new TargetFixture(TargetClientOptions.defaults());
        targets = List.of(TargetFixture.target(engine.port()));
        reader = LoadReader.start(
                fixture.client,
                new LoadReaderOptions(20, 20, 1_000),
                () -> System.nanoTime() / 1_000_000,
                () -> {
                    targetListReads.incrementAndGet();
                    return targets;
                },
                events::add);
    }

    @AfterEach
    void stop() {
        reader.close();
        fixture.close();
        engine.close();
    }

    private <E extends Event> List<E> seen(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private boolean reported(int running, int queued) {
        return seen(TargetReported.class).stream()
                .map(TargetReported::report)
                .anyMatch(load -> load.running() == running && load.queued() == queued && load.maxBatch() == 2);
    }

    @Test
    void reportsContainBatchAndQueue() throws Exception {
        for (int i = 0; i < 3; i++) {
            fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(ENDLESS_TOKENS, true));
        }
        TargetFixture.await(() -> reported(2, 1));
    }

    @Test
    void lostCacheEventsAreCountedAndOthersDelivered() throws Exception {
        // The engine loses every third event. The others arrive late, and the gap in their sequence numbers is counted.
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    TargetOutcome.COMPLETED,
                    fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(1, true))
                            .outcome());
        }
        TargetFixture.await(() -> seen(PrefixCached.class).size() == 3);
        assertTrue(seen(PrefixCached.class).stream().allMatch(PrefixCached::present));
        assertEquals(1, fixture.count("targets.cache_events.gaps"));
    }

    @Test
    void eventsOfARestartedEngineAreDelivered() throws Exception {
        // The engine restarts without state and numbers its events from the start, below the last number that the
        // reader has seen. The reader must detect this and start over too, instead of ignoring every new event as
        // old.
        for (int i = 0; i < 2; i++) {
            fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(1, true)).outcome();
        }
        TargetFixture.await(() -> seen(PrefixCached.class).size() == 2);
        engine.restartEmpty();
        TargetFixture.await(() -> fixture.count("targets.cache_events.restarts") == 1);
        assertEquals(
                TargetOutcome.COMPLETED,
                fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(1, true))
                        .outcome());
        TargetFixture.await(() -> seen(PrefixCached.class).size() == 3);
    }

    @Test
    void removedTargetIsNotReported() throws Exception {
        TargetFixture.await(() -> !events.isEmpty());
        targets = List.of();
        int before = targetListReads.get();
        TargetFixture.await(() -> targetListReads.get() >= before + 2);
        int eventsBefore = events.size();
        fixture.run(engine.port(), LONG_TIMEOUT_MS, fixture.chat(50, true)).outcome();
        assertEquals(eventsBefore, events.size());
    }
}
