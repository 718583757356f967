package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
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
 * Random streams, callers that move, and failures, while software versions come and go. {@code -Dsoak.seeds=N} runs more
 * seeds.
 */
class StreamVersionSoakTest extends PlacementFleet {
    private static final int DEFAULT_SEEDS = 8;
    private static final int STEPS = 1_500;
    private static final int MAX_STREAMS = 6;
    private static final int MAX_STEP_MS = 150;
    /** The rules' time without disturbances after which resumed streams must continue. */
    private static final long CALM_MS = 3_000;
    /** Fewer resumed streams show no share. */
    private static final int MIN_RESUMED = 12;

    private static final List<Map<String, String>> LISTS = List.of(
            Map.of("a1", "v1", "a2", "v1", "a3", "v1"),
            Map.of("a1", "v1", "a2", "v1", "b1", "v2", "b2", "v2"),
            Map.of("b1", "v2", "b2", "v2", "c1", "v3", "c2", "v3"),
            Map.of("a3", "v1", "b1", "v2", "c1", "v3", "c2", "v3"),
            Map.of("c1", "v3", "c2", "v3", "c3", "v3"));

    private final List<Stream> streams = new ArrayList<>();
    private Random random = new Random(0);
    private Map<String, String> current = LISTS.get(0);
    private long lastKey;
    private long calmSinceMs;
    private int resumed;
    private int continued;

    /** A caller's stream: its version once the first event has arrived, and where it runs. */
    private static final class Stream {
        private final long key;
        private InstanceId at;
        private long request;
        private @Nullable String version;

        private Stream(long key, InstanceId at) {
            this.key = key;
            this.at = at;
        }
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("soak.seeds", DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void streamsContinueAtTheirVersion(long seed) {
        random = new Random(seed);
        list(current);
        for (int step = 0; step < STEPS; step++) {
            step();
            advance(random.nextInt(MAX_STEP_MS));
        }
        assertTrue(resumed >= MIN_RESUMED, "resumed while calm: " + resumed);
        assertTrue(2 * continued >= resumed, continued + " of " + resumed + " streams continued while calm");
    }

    private void step() {
        int choice = random.nextInt(100);
        if (choice < 40 && streams.size() < MAX_STREAMS) {
            begin();
        } else if (choice < 55) {
            withStream(this::breakOff);
        } else if (choice < 75) {
            withStream(stream -> {
                leave(stream);
                resume(stream);
            });
        } else if (choice < 90) {
            withStream(stream -> {
                apply(stream.at, new Event.TargetEnded(stream.request, TargetOutcome.COMPLETED, Usage.NONE));
                streams.remove(stream);
            });
        } else if (choice == 90) {
            list(LISTS.get(random.nextInt(LISTS.size())));
        } else if (choice == 91) {
            restartAny();
        } else if (choice == 92 || (choice > 92 && !cutLinks.isEmpty())) {
            cutOrHeal();
        }
    }

    private void begin() {
        Stream stream = new Stream(++lastKey, anyInstance());
        if (run(stream, StreamSpec.beginning(stream.key))) {
            streams.add(stream);
        }
    }

    private void breakOff(Stream stream) {
        int before = dispatched.size();
        apply(stream.at, new Event.TargetEnded(stream.request, TargetOutcome.BROKEN_IN_ANSWER, Usage.NONE));
        if (dispatched.size() > before) {
            answered(stream);
        } else {
            streams.remove(stream);
        }
    }

    private void resume(Stream stream) {
        boolean counts = cutLinks.isEmpty()
                && nowMs - calmSinceMs >= CALM_MS
                && current.values().stream()
                                .filter(Objects.requireNonNull(stream.version)::equals)
                                .count()
                        >= 2;
        stream.at = anyInstance();
        boolean continues = run(stream, StreamSpec.resuming(++lastKey, stream.key));
        if (!continues) {
            streams.remove(stream);
        }
        if (counts) {
            resumed++;
            continued += continues ? 1 : 0;
        }
    }

    /** Sends a request of the stream; returns whether a target runs it. */
    private boolean run(Stream stream, StreamSpec spec) {
        entry = stream.at;
        stream.request =
                arrive(new PlacementSpec(List.of(PromptPart.of(1_000 + stream.key, 10)), 5, nowMs + 400, 3, true)
                        .withStream(spec));
        advance(50);
        if (!isRunning(stream.request)) {
            leave(stream);
            return false;
        }
        answered(stream);
        return true;
    }

    /** The caller leaves, and the target ends the request if it runs. */
    private void leave(Stream stream) {
        apply(stream.at, new Event.CallerGone(stream.request));
        if (isRunning(stream.request)) {
            apply(stream.at, new Event.TargetEnded(stream.request, TargetOutcome.CANCELLED, Usage.NONE));
        }
    }

    /** The newest run of the stream sends an event to the caller. */
    private void answered(Stream stream) {
        String version = versionOf(stream.request);
        if (stream.version == null) {
            stream.version = version;
        }
        assertEquals(stream.version, version, "stream " + stream.key + " at " + nowMs + " ms");
        apply(stream.at, new Event.TargetAnswering(stream.request));
    }

    private void restartAny() {
        InstanceId id = anyInstance();
        if (!cutLinks.isEmpty()) {
            return;
        }
        calmSinceMs = nowMs;
        restart(id, settings(current));
        for (Stream stream : List.copyOf(streams)) {
            if (stream.at.equals(id)) {
                resume(stream);
            }
        }
    }

    /** Disconnects an instance from the others, or connects all again. */
    private void cutOrHeal() {
        calmSinceMs = nowMs;
        if (!cutLinks.isEmpty()) {
            List.copyOf(cutLinks).forEach(pair -> {
                List<InstanceId> both = List.copyOf(pair);
                healLink(both.get(0), both.get(1));
            });
            return;
        }
        InstanceId id = anyInstance();
        INSTANCES.stream().filter(other -> !other.equals(id)).forEach(other -> cutLink(id, other));
    }

    private void list(Map<String, String> versionByTarget) {
        calmSinceMs = nowMs;
        current = versionByTarget;
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings(versionByTarget))));
    }

    private InstanceId anyInstance() {
        return INSTANCES.get(random.nextInt(INSTANCES.size()));
    }

    private void withStream(Consumer<Stream> action) {
        if (!streams.isEmpty()) {
            action.accept(streams.get(random.nextInt(streams.size())));
        }
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
