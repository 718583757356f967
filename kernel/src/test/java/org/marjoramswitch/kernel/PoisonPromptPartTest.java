package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Guards against a prompt part that crashes each target which begins a response to it. The requests that contain it are
 * all different and arrive at any instance; sound requests share their other parts and run beside them.
 */
class PoisonPromptPartTest extends PlacementFleet {
    private static final String[] TARGETS = {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"};
    private static final long POISON_PART = 666;
    private static final long FIRST_PART = 1;
    private static final long RARE_PART = 300;
    private static final int PART_TOKENS = 10;
    /** Requirement: at most so many are sent once so many targets have crashed and all instances may know. */
    private static final int MAX_SENT_AFTERWARDS = 3;

    private static final int CRASHES_UNTIL_KNOWN = 5;
    private static final long PROPAGATION_MS = 3_000;
    private static final long FIRST_BYTE_MS = 80;
    private static final long RESPONSE_MS = 600;
    private static final long SOUND_INTERVAL_MS = 50;
    private static final long BEFORE_FIRST_BYTE = -1;
    private static final int MAX_CRASH_AFTER_MS = 280;
    private static final int ATTEMPTS = 2;

    private final Map<Long, SentRequest> sent = new HashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final List<Long> crashedAtMs = new ArrayList<>();
    private final List<Long> poisonSentAtMs = new ArrayList<>();
    private final Random random = new Random(1);
    private int examined;
    private long poisonIntervalMs = 250;
    /** When a response with the poison part crashes its target, counted from its first byte. */
    private long crashAfterMs = BEFORE_FIRST_BYTE;

    private record SentRequest(InstanceId entry, boolean poison, long sentAtMs) {}

    /** A request at a target. */
    private static final class Running {
        private final TargetId target;
        private final long sinceMs;
        private boolean answering;

        private Running(TargetId target, long sinceMs) {
            this.target = target;
            this.sinceMs = sinceMs;
        }
    }

    @BeforeEach
    void eightTargets() {
        targets(TARGETS);
    }

    @Test
    void poisonPartIsBlockedAtAllInstances() {
        run(20_000, List.of(FIRST_PART, POISON_PART));
        assertAlmostNeverSentOnceKnown();
        assertTrue(soundShareBegun() > 0.9, "sound requests begun: " + soundShareBegun());
    }

    @Test
    void poisonPartThatIsTheFirstOneIsBlocked() {
        run(20_000, List.of(POISON_PART, FIRST_PART));
        assertAlmostNeverSentOnceKnown();
        assertTrue(soundShareBegun() > 0.9, "sound requests begun: " + soundShareBegun());
    }

    /** Guards against clearing a part by a response that began and was broken off, after one event or after several. */
    @ParameterizedTest
    @ValueSource(longs = {10, 100, 250})
    void poisonPartThatCrashesTargetsWithinTheResponseIsBlocked(long afterFirstByteMs) {
        crashAfterMs = afterFirstByteMs;
        poisonIntervalMs = 1_000;
        run(20_000, List.of(FIRST_PART, POISON_PART));
        assertAlmostNeverSentOnceKnown();
        assertTrue(soundShareBegun() > 0.9, "sound requests begun: " + soundShareBegun());
    }

    /** Guards against blocking a sound part that few requests use and that the poison requests share. */
    @Test
    void rareSoundPartBesideThePoisonOneIsServed() {
        run(8_000, List.of(FIRST_PART, RARE_PART, POISON_PART));
        sent.clear();
        for (int i = 0; i < 20; i++) {
            send(randomInstance(), List.of(FIRST_PART, RARE_PART), false);
            advanceSteps(1_000);
        }
        assertTrue(soundShareBegun() > 0.5, "sound requests begun: " + soundShareBegun());
    }

    /** Each instance is restarted in turn, and has to get the crashes from its peers. */
    @Test
    void blockSurvivesTheRestartOfEveryInstance() {
        run(8_000, List.of(FIRST_PART, POISON_PART));
        for (InstanceId id : INSTANCES) {
            running.keySet().removeIf(request -> requireSent(request).entry().equals(id));
            restart(id, TARGETS);
            run(4_000, List.of(FIRST_PART, POISON_PART));
        }
        assertAlmostNeverSentOnceKnown();
    }

    /** Targets that crash together have another reason; the parts of what waited there are not to blame. */
    @Test
    void partsOnTargetsThatCrashTogetherAreNotBlocked() {
        for (int i = 0; i < TARGETS.length; i++) {
            send(INSTANCES.get(i % INSTANCES.size()), List.of(FIRST_PART, 300L), false);
        }
        step();
        Set<TargetId> crashed = new HashSet<>();
        running.values().forEach(request -> crashed.add(request.target));
        assertTrue(crashed.size() > CRASHES_UNTIL_KNOWN, crashed + " have requests");
        crashed.forEach(this::crash);
        advanceSteps(1_000);
        sent.clear();
        for (InstanceId id : INSTANCES) {
            send(id, List.of(FIRST_PART, 300L), false);
        }
        advanceSteps(FIRST_BYTE_MS);
        assertTrue(soundShareBegun() == 1, "begun: " + soundShareBegun());
    }

    /** Instances that are paused for a second while poison requests arrive have the usual time to catch up. */
    @ParameterizedTest
    @MethodSource("seeds")
    void blockSurvivesPausesAndRestarts(long seed) {
        random.setSeed(seed);
        disturbInstances(seed);
    }

    /** As above, with crashes at any moment of the time in which a response counts as begun. */
    @ParameterizedTest
    @MethodSource("seeds")
    void blockByCrashesWithinResponsesSurvivesPausesAndRestarts(long seed) {
        random.setSeed(seed);
        crashAfterMs = random.nextInt(MAX_CRASH_AFTER_MS);
        disturbInstances(seed);
    }

    private void disturbInstances(long seed) {
        run(8_000, List.of(FIRST_PART, POISON_PART));
        for (int i = 0; i < 6; i++) {
            InstanceId disturbed = INSTANCES.get(random.nextInt(INSTANCES.size()));
            if (random.nextBoolean()) {
                running.keySet()
                        .removeIf(request -> requireSent(request).entry().equals(disturbed));
                restart(disturbed, TARGETS);
            } else {
                frozen.add(disturbed);
                advanceSteps(1_000);
                frozen.clear();
            }
            advanceSteps(PROPAGATION_MS);
            run(1_000, List.of(FIRST_PART, POISON_PART));
        }
        assertAlmostNeverSentOnceKnown();
        assertTrue(soundShareBegun() > 0.8, "seed " + seed + ", sound requests begun: " + soundShareBegun());
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 20);
    }

    /** Sends poison requests and sound ones at random instances. */
    private void run(long forMs, List<Long> poisonParts) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; step()) {
            if (nowMs % SOUND_INTERVAL_MS == 0) {
                send(randomInstance(), List.of(FIRST_PART, 200L + random.nextInt(10)), false);
            }
            if (nowMs % poisonIntervalMs == 0) {
                send(randomInstance(), poisonParts, true);
            }
        }
    }

    private InstanceId randomInstance() {
        return INSTANCES.get(random.nextInt(INSTANCES.size()));
    }

    private void send(InstanceId instance, List<Long> sharedParts, boolean poison) {
        List<PromptPart> prompt = new ArrayList<>();
        sharedParts.forEach(part -> prompt.add(PromptPart.of(part, PART_TOKENS)));
        prompt.add(PromptPart.of(1_000_000 + requests, PART_TOKENS));
        entry = instance;
        sent.put(requests + 1, new SentRequest(instance, poison, nowMs));
        arrive(new PlacementSpec(prompt, 5, nowMs + 400, ATTEMPTS, true), 1_000 + requests);
        startDispatched();
    }

    private void advanceSteps(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; ) {
            step();
        }
    }

    private void step() {
        advance(10);
        startDispatched();
        for (long request : List.copyOf(running.keySet())) {
            Running run = running.get(request);
            if (run != null) {
                continueRun(request, run);
            }
        }
        startDispatched();
    }

    private void startDispatched() {
        while (examined < dispatched.size()) {
            Action.Dispatch dispatch = dispatched.get(examined++);
            running.put(dispatch.requestId(), new Running(dispatch.target(), nowMs));
            if (requireSent(dispatch.requestId()).poison()) {
                poisonSentAtMs.add(nowMs);
            }
        }
    }

    private void continueRun(long request, Running run) {
        long elapsedMs = nowMs - run.sinceMs;
        if (frozen.contains(requireSent(request).entry())) {
            return;
        }
        if (requireSent(request).poison() && elapsedMs >= FIRST_BYTE_MS + crashAfterMs) {
            crashedAtMs.add(nowMs);
            crash(run.target);
        } else if (!run.answering && elapsedMs >= FIRST_BYTE_MS) {
            run.answering = true;
            apply(requireSent(request).entry(), new Event.TargetAnswering(request));
        } else if (elapsedMs >= RESPONSE_MS) {
            running.remove(request);
            apply(requireSent(request).entry(), new Event.TargetEnded(request, TargetOutcome.COMPLETED, Usage.NONE));
        }
    }

    /** Breaks off all that runs at the target, which is back at once. */
    private void crash(TargetId target) {
        for (long request : List.copyOf(running.keySet())) {
            Running run = running.get(request);
            if (run != null && run.target.equals(target)) {
                running.remove(request);
                TargetOutcome outcome =
                        run.answering ? TargetOutcome.BROKEN_IN_ANSWER : TargetOutcome.BROKEN_BEFORE_ANSWER;
                apply(requireSent(request).entry(), new Event.TargetEnded(request, outcome, Usage.NONE));
            }
        }
    }

    private SentRequest requireSent(long request) {
        return sent.getOrDefault(request, new SentRequest(entry, false, 0));
    }

    private void assertAlmostNeverSentOnceKnown() {
        assertTrue(crashedAtMs.size() >= 3, "crashes: " + crashedAtMs);
        long knownAtMs = crashedAtMs.get(Math.min(CRASHES_UNTIL_KNOWN, crashedAtMs.size()) - 1) + PROPAGATION_MS;
        long sentAfterwards =
                poisonSentAtMs.stream().filter(atMs -> atMs > knownAtMs).count();
        assertTrue(
                sentAfterwards <= MAX_SENT_AFTERWARDS,
                sentAfterwards + " sent once known, " + crashedAtMs.size() + " crashes");
    }

    /** The share of the sound requests, sent once the poison part may be known, that began at the first attempt. */
    private double soundShareBegun() {
        long fromMs = crashedAtMs.isEmpty()
                ? 0
                : crashedAtMs.get(Math.min(CRASHES_UNTIL_KNOWN, crashedAtMs.size()) - 1) + 2 * PROPAGATION_MS;
        Set<Long> begun = new HashSet<>();
        dispatched.stream()
                .filter(dispatch -> dispatch.attempt() == 1)
                .forEach(dispatch -> begun.add(dispatch.requestId()));
        List<Long> sound = sent.keySet().stream()
                .filter(request -> !requireSent(request).poison())
                .filter(request -> requireSent(request).sentAtMs() >= fromMs)
                .filter(request -> requireSent(request).sentAtMs() <= nowMs - FIRST_BYTE_MS)
                .toList();
        return sound.stream().filter(begun::contains).count() / (double) sound.size();
    }
}
