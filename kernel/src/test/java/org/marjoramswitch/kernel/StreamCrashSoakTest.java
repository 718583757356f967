package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.StreamSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Random series of crashes of all instances, releases of one to three versions, and faults of the key-value store.
 * {@code -Dsoak.seeds=N} runs more seeds.
 */
class StreamCrashSoakTest extends PlacementFleet {
    private static final int DEFAULT_SEEDS = 8;
    private static final int ROUNDS = 20;
    /** Bounds the rounds that are added until enough streams were resumed while calm. */
    private static final int MAX_ROUNDS = 100;
    /** Twice the time for which a stream is resumable at least. */
    private static final int MAX_CLOCK_STEP_MS = 60_000;

    private static final long LONG_TIMEOUT_MS = 40_000;
    /** Longer than a stream lasts. */
    private static final int MAX_PAUSE_MS = 45_000;
    /** Streams that began later before the crash may not have been stored. */
    private static final long STORED_WITHIN_MS = 1_000;
    /** The rules' time without disturbances after which resumed streams must continue. */
    private static final long CALM_MS = 3_000;
    /** Fewer resumed streams show no share. */
    private static final int MIN_RESUMED = 12;

    private static final List<Map<String, String>> LISTS = List.of(
            Map.of("a1", "v1", "a2", "v1", "a3", "v1"),
            Map.of("a1", "v1", "a2", "v1", "b1", "v2", "b2", "v2"),
            Map.of("b1", "v2", "b2", "v2", "b3", "v2"),
            Map.of("b1", "v2", "b2", "v2", "c1", "v3", "c2", "v3"),
            Map.of("a1", "v1", "a2", "v1", "b1", "v2", "b2", "v2", "c1", "v3", "c2", "v3"),
            Map.of("c1", "v3", "c2", "v3", "c3", "v3"));

    private final List<Stream> streams = new ArrayList<>();
    private Random random = new Random(0);
    private StreamStore store = new StreamStore(random, this::apply);
    private Map<String, String> current = LISTS.get(0);
    private long lastKey;
    private long calmSinceMs;
    private long crashedAtMs;
    /** Whether the store has had a fault in this round. */
    private boolean disturbed;

    private int resumed;
    private int continued;

    private record Stream(long key, String version, long begunAtMs) {}

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("soak.seeds", DEFAULT_SEEDS));
    }

    /** Guards against joining two versions, and against losing most streams, after all instances have crashed. */
    @ParameterizedTest
    @MethodSource("seeds")
    void streamsContinueAtTheirVersionAfterCrashesOfAllInstances(long seed) {
        random = new Random(seed);
        store = new StreamStore(random, this::apply);
        callerTimeoutMs = random.nextBoolean() ? CALLER_TIMEOUT_MS : LONG_TIMEOUT_MS;
        INSTANCES.forEach(id -> store.read(id, nowMs));
        list(current);
        calmSinceMs = nowMs;
        for (int round = 0; round < ROUNDS || (resumed < MIN_RESUMED && round < MAX_ROUNDS); round++) {
            round();
        }
        assertTrue(resumed >= MIN_RESUMED, "resumed while calm: " + resumed);
        assertTrue(2 * continued >= resumed, continued + " of " + resumed + " streams continued while calm");
    }

    private void round() {
        disturbed = false;
        if (random.nextInt(3) > 0) {
            release();
        }
        pass(random.nextInt(MAX_PAUSE_MS));
        StreamStore.Contents copy = store.copy();
        beginSome();
        int disturbance = random.nextInt(6);
        if (disturbance == 0) {
            release();
            beginSome();
        } else if (disturbance == 1) {
            disturbed(() -> store.available(false));
            beginSome();
            pass(random.nextInt(2_000));
        } else if (disturbance == 2) {
            disturbed(() -> store.lostResponsesPercent(50));
            disturbed(() -> store.maxLatencyMs(1_000));
            beginSome();
        } else {
            pass(random.nextInt(3_000));
        }
        crash();
        if (random.nextInt(4) == 0) {
            disturbed(() -> store.restoreFrom(copy));
        }
        if (random.nextInt(4) == 0) {
            disturbed(() -> store.stepClock(random.nextInt(2 * MAX_CLOCK_STEP_MS) - MAX_CLOCK_STEP_MS));
        }
        if (random.nextInt(4) == 0) {
            current = anyList();
            calmSinceMs = nowMs;
        }
        pass(random.nextInt(4_000));
        restartAll();
        if (random.nextInt(3) == 0) {
            pass(random.nextInt(2_000));
            beginSome();
            crash();
            pass(500 + random.nextInt(1_000));
            restartAll();
        }
        pass(500);
        if (disturbance == 1 && random.nextBoolean()) {
            resumeAll();
        }
        store.available(true);
        store.lostResponsesPercent(0);
        store.maxLatencyMs(20);
        pass(random.nextInt(1_000));
        resumeAll();
        streams.clear();
    }

    private void disturbed(Runnable disturbance) {
        disturbance.run();
        disturbed = true;
    }

    private void beginSome() {
        int count = 1 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            begin();
            pass(random.nextInt(200));
        }
    }

    private void begin() {
        long key = ++lastKey;
        entry = anyInstance();
        long request = send(StreamSpec.beginning(key));
        if (!isRunning(request)) {
            apply(entry, new Event.CallerGone(request));
            return;
        }
        apply(entry, new Event.TargetAnswering(request));
        if (random.nextInt(5) == 0) {
            breakOffAndBeginAgain(key, request);
            return;
        }
        streams.add(new Stream(key, versionOf(request), nowMs));
        finish(request);
    }

    /** A request whose caller has seen nothing of its first run begins again, maybe at another version. */
    private void breakOffAndBeginAgain(long key, long request) {
        finish(request);
        pass(random.nextInt(1_000));
        entry = anyInstance();
        long again = send(StreamSpec.beginning(key));
        if (isRunning(again)) {
            apply(entry, new Event.TargetAnswering(again));
            streams.add(new Stream(key, versionOf(again), nowMs));
        }
        finish(again);
    }

    private void resumeAll() {
        Collections.shuffle(streams, random);
        for (Stream stream : streams) {
            boolean counts = !disturbed
                    && nowMs - calmSinceMs >= CALM_MS
                    && crashedAtMs - stream.begunAtMs() >= STORED_WITHIN_MS
                    && current.values().stream()
                                    .filter(stream.version()::equals)
                                    .count()
                            >= 2;
            entry = anyInstance();
            long request = send(StreamSpec.resuming(++lastKey, stream.key()));
            boolean continues = isRunning(request);
            if (continues) {
                assertEquals(stream.version(), versionOf(request), "stream " + stream + " at " + nowMs + " ms");
            }
            finish(request);
            if (counts) {
                resumed++;
                continued += continues ? 1 : 0;
            }
        }
    }

    private long send(StreamSpec spec) {
        long request = arrive(new PlacementSpec(List.of(PromptPart.of(1_000 + lastKey, 10)), 5, nowMs + 400, 3, true)
                .withStream(spec));
        pass(30);
        return request;
    }

    /** The caller leaves, and the target ends the request if it runs. */
    private void finish(long request) {
        apply(entry, new Event.CallerGone(request));
        if (isRunning(request)) {
            apply(entry, new Event.TargetEnded(request, TargetOutcome.CANCELLED, Usage.NONE));
        }
    }

    private void crash() {
        crashAll();
        store.crashed(nowMs);
        crashedAtMs = nowMs;
    }

    private void restartAll() {
        startAll(settings(current));
        INSTANCES.forEach(id -> store.read(id, nowMs));
    }

    private void release() {
        list(anyList());
    }

    private Map<String, String> anyList() {
        return LISTS.get(random.nextInt(LISTS.size()));
    }

    /** Instances read a new list at different times. */
    private void list(Map<String, String> versionByTarget) {
        calmSinceMs = nowMs;
        current = versionByTarget;
        List<InstanceId> order = new ArrayList<>(INSTANCES);
        Collections.shuffle(order, random);
        for (InstanceId id : order) {
            apply(id, new Event.SettingsAccepted(settings(versionByTarget)));
            pass(random.nextInt(150));
        }
    }

    private void pass(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; ) {
            advance(10);
            store.advance(nowMs);
        }
    }

    @Override
    void perform(InstanceId at, Action action) {
        super.perform(at, action);
        if (action instanceof Action.Persist) {
            store.write(at, action, nowMs);
        }
    }

    private InstanceId anyInstance() {
        return INSTANCES.get(random.nextInt(INSTANCES.size()));
    }

    private String versionOf(long request) {
        Action.Dispatch last = dispatched.stream()
                .filter(start -> start.requestId() == request)
                .reduce((first, second) -> second)
                .orElseThrow();
        return switch (last.target().name().charAt(0)) {
            case 'a' -> "v1";
            case 'b' -> "v2";
            default -> "v3";
        };
    }
}
