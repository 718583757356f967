package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * The choice by order and part index equals an exhaustive search: for pools of every load, prompts of which all, few or
 * no engines have a part cached, with and without fetching, with targets excluded because of failures or by the
 * request.
 */
class TargetChoiceTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final long NOW_MS = 10_000;
    private static final int ENGINES = 40;
    private static final int SESSIONS = 60;
    private static final int REQUESTS = 300;
    private static final long MEMORY_TOKENS = 600_000;
    /** Exceeded by the running requests of about half of the engines. */
    private static final long SCARCE_TOKENS = 60_000;

    private TargetPool pool = TargetPool.create();
    private final FirstByteModel model = new FirstByteModel();
    private int versionCount = 1;

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "3, 1", "4, 1", "5, 1", "6, 1", "7, 1", "8, 1", "9, 2", "10, 2", "11, 3", "12, 3"})
    void theChoiceEqualsAnExhaustiveSearch(long seed, int versions) {
        Random random = new Random(seed);
        versionCount = versions;
        engines(random, seed % 2 == 0 ? EngineMemory.of(MEMORY_TOKENS) : EngineMemory.fetching(MEMORY_TOKENS, 0.0004));
        checkChoices(random, versions);
    }

    /** Guards against a search that skips engines with room, where a request's need depends on the parts in use there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theChoiceEqualsAnExhaustiveSearchWhereMemoryIsScarce(long seed) {
        Random random = new Random(seed);
        EngineMemoryModel memoryModel = EngineMemoryModel.create(PlacementPolicy.full());
        for (int i = 0; i < REQUESTS; i++) {
            memoryModel.requested(SCARCE_TOKENS);
            memoryModel.responded(300, 100 + random.nextInt(500));
        }
        pool = TargetPool.create(memoryModel);
        engines(random, EngineMemory.of(SCARCE_TOKENS));
        assertTrue(pool.usable().stream().allMatch(TargetLoad::isMemoryScarce));
        checkChoices(random, 1);
    }

    private void checkChoices(Random random, int versions) {
        TargetChoice choice = TargetChoice.at(PlacementPolicy.full(), model, 50, pool, NOW_MS);
        int placed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String version = versions > 1 && random.nextBoolean() ? version(random.nextInt(versions)) : "";
            WaitingRequest request = request(i, prompt(random, i), excluded(random), version);
            TargetChoice.Chosen expected = choice.chooseInTimeExhaustively(request);
            assertEquals(expected, choice.chooseInTime(request), "request " + i);
            assertTrue(expected == null || isSameVersion(request, expected), "request " + i);
            if (expected != null && placed < ENGINES) {
                placed++;
                expected.target().started(request.prompt(), expected.prefillTokens(), request.memoryTokens(), NOW_MS);
                choice.started(expected.target());
            }
        }
        assertTrue(placed > 0);
        assertTrue(pool.order().minSlowness() < 0.7, "no speeds were learned");
    }

    /**
     * A target that failed the request may serve it now, which is better than rejecting it if no other target is left.
     */
    @Test
    void aRequestThatFailedAtAllTargetsIsTriedAgain() {
        engines(new Random(1), EngineMemory.of(MEMORY_TOKENS));
        TargetChoice choice = TargetChoice.at(PlacementPolicy.full(), model, 50, pool, NOW_MS);
        Set<TargetId> all = new HashSet<>();
        pool.usable().forEach(target -> all.add(target.settings().id()));
        assertNotNull(choice.chooseInTime(request(1, List.of(PromptPart.of(1, 500), PromptPart.of(99, 500)), all)));
    }

    /** If no target has room, no search takes place, until the first target has room again. */
    @Test
    void aFullPoolTakesNoRequestUntilATargetHasRoom() {
        pool.targets(List.of(settings(1, 1, EngineMemory.of(MEMORY_TOKENS))), Set.of(), Set.of(), 0);
        TargetLoad only = pool.usable().iterator().next();
        only.takeOver(0, 100, true, NOW_MS);
        WaitingRequest request = request(1, List.of(PromptPart.of(1, 500)), Set.of());
        TargetChoice full = TargetChoice.at(PlacementPolicy.full(), model, 50, pool, NOW_MS);
        assertNull(full.chooseInTime(request));
        only.ended(List.of(), 100, NOW_MS);
        assertNotNull(
                TargetChoice.at(PlacementPolicy.full(), model, 50, pool, NOW_MS).chooseInTime(request));
    }

    /**
     * Engines of different sizes, so that no two have the same cost; some are full, have a long prefill queue or are
     * failing. Their learned speeds differ by up to a factor of five.
     */
    private void engines(Random random, EngineMemory memory) {
        List<TargetSettings> settings = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            settings.add(settings(i, 23 + 7 * i, memory));
        }
        pool.targets(settings, Set.of(), Set.of(), 0);
        Random speeds = new Random(ENGINES);
        for (TargetLoad engine : pool.usable()) {
            learnSpeed(engine, speeds);
            int running = 1 + random.nextInt(engine.settings().slots());
            for (int i = 0; i < running; i++) {
                boolean answering = random.nextInt(20) > 0;
                engine.takeOver(
                        random.nextInt(3_000), 400 + random.nextInt(900), answering, NOW_MS - random.nextInt(30));
            }
            for (int i = 0; i < 6; i++) {
                List<PromptPart> prompt = prompt(random, 1_000 + i);
                if (random.nextBoolean()) {
                    engine.prefilled(prompt, 0, NOW_MS - 1);
                } else {
                    engine.started(prompt, 100, 700, NOW_MS - 1);
                }
            }
            for (int i = 0; random.nextInt(6) == 0 && i < 3; i++) {
                engine.health().failed(NOW_MS - 1);
            }
        }
    }

    private static void learnSpeed(TargetLoad engine, Random random) {
        double slowness = Math.exp(0.8 * (2 * random.nextDouble() - 1));
        for (int i = 0; i < 20; i++) {
            engine.speed().observe(100 * slowness, 100, NOW_MS - 1);
        }
    }

    private TargetSettings settings(int number, int slots, EngineMemory memory) {
        return new TargetSettings(
                        TargetId.of("t" + number),
                        POOL,
                        "10.0.0.1",
                        80,
                        DataCentreId.of("dc-" + number % 5),
                        slots,
                        false,
                        memory)
                .withSoftwareVersion(version(number % versionCount));
    }

    private static String version(int number) {
        return "v" + number;
    }

    /** Whether target and request have the same version, if the request has one, and source and target always. */
    private boolean isSameVersion(WaitingRequest request, TargetChoice.Chosen chosen) {
        String version = chosen.target().settings().softwareVersion();
        TargetLoad source = chosen.fetchFrom() == null ? null : pool.get(chosen.fetchFrom());
        return (request.softwareVersion().isEmpty() || request.softwareVersion().equals(version))
                && (source == null || source.settings().softwareVersion().equals(version));
    }

    private static Set<TargetId> excluded(Random random) {
        return random.nextInt(4) == 0 ? Set.of(TargetId.of("t" + random.nextInt(ENGINES))) : Set.of();
    }

    /**
     * A part that most engines have cached, a session that few or none have cached, and a part of the request's own.
     */
    private static List<PromptPart> prompt(Random random, int number) {
        int session = random.nextInt(SESSIONS);
        int sessionTokens = 200 + 97 * session;
        return List.of(
                PromptPart.of(1 + session % 2, 500),
                PromptPart.of(100 + session, sessionTokens),
                PromptPart.of(100_000 + number, 50 + random.nextInt(2_000)));
    }

    private static WaitingRequest request(int number, List<PromptPart> prompt, Set<TargetId> excluded) {
        return request(number, prompt, excluded, "");
    }

    private static WaitingRequest request(
            int number, List<PromptPart> prompt, Set<TargetId> excluded, String softwareVersion) {
        long tokens = prompt.stream().mapToLong(PromptPart::tokens).sum();
        return new WaitingRequest(
                InstanceId.of("entry"),
                number,
                number,
                CustomerId.of("a"),
                1,
                prompt,
                tokens,
                300,
                NOW_MS,
                NOW_MS + 100 + number,
                NOW_MS + 8_000,
                NOW_MS + 8_000,
                excluded,
                softwareVersion,
                SizeClass.USUAL,
                tokens);
    }
}
