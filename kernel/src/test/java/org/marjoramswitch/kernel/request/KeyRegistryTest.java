package org.marjoramswitch.kernel.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RunState;

class KeyRegistryTest {
    private static final CustomerId ONE = CustomerId.of("one");
    private static final CustomerId TWO = CustomerId.of("two");
    private static final KeyLimits LIMITS = new KeyLimits(6, 4, 20_000, 60_000, 10_000, 2_000);
    private static final long NOW_MS = 1_000_000;

    private final KeyRegistry registry = KeyRegistry.create(LIMITS);

    private static RequestKey key(long issuedMs, String suffix) {
        return RequestKey.of(InstanceId.of("a"), 1, issuedMs / 1_000, suffix);
    }

    private static ErrorType refusal(KeyVerdict verdict, RunState run) {
        Failure failure = assertInstanceOf(KeyVerdict.Refused.class, verdict).failure();
        assertEquals(run, failure.run());
        return failure.type();
    }

    @Test
    void retryAttachesToARunningRequestAndReplaysAnEndedOne() {
        RequestKey key = key(NOW_MS, "k");
        assertEquals(new KeyVerdict.Start(), registry.present(ONE, key, 7, 1, NOW_MS));
        assertEquals(new KeyVerdict.Attach(1), registry.present(ONE, key, 7, 2, NOW_MS));
        registry.sent(1);
        assertEquals(KeyState.SENT, registry.query(ONE, key, NOW_MS));
        registry.responseStarted(1);
        assertEquals(KeyState.ANSWERING, registry.query(ONE, key, NOW_MS));
        registry.ended(1, false, NOW_MS);
        assertEquals(new KeyVerdict.Replay(1), registry.present(ONE, key, 7, 3, NOW_MS));
        assertEquals(List.of(1L), registry.expire(NOW_MS + 10_000));
        assertEquals(
                ErrorType.ANSWER_NOT_KEPT,
                refusal(registry.present(ONE, key, 7, 4, NOW_MS + 10_000), RunState.UNKNOWN));
    }

    @Test
    void differentBodyIsRejectedAndKeysOfOtherCustomersAreUnseen() {
        RequestKey key = key(NOW_MS, "k");
        registry.present(ONE, key, 7, 1, NOW_MS);
        assertEquals(ErrorType.KEY_IN_USE, refusal(registry.present(ONE, key, 8, 2, NOW_MS), RunState.NOT_RUN));
        assertEquals(new KeyVerdict.Start(), registry.present(TWO, key, 7, 3, NOW_MS));
    }

    // A retry at another instance queries the key before the first attempt has been read here. It is reported as "not
    // run"; the first attempt, read a moment later, must not run.
    @Test
    void queriedKeyNeverRuns() {
        RequestKey key = key(NOW_MS, "k");
        assertEquals(KeyState.NEVER_SEEN, registry.query(ONE, key, NOW_MS));
        assertEquals(ErrorType.KEY_DEAD, refusal(registry.present(ONE, key, 7, 1, NOW_MS), RunState.NOT_RUN));
    }

    // Two attempts of one request overlap. The first is rejected by a full queue and reported as "not run"; the second
    // arrives when the queue has capacity, and must not run.
    @Test
    void keyOfARequestThatEndedAsNotRunIsDead() {
        RequestKey key = key(NOW_MS, "k");
        registry.present(ONE, key, 7, 1, NOW_MS);
        registry.ended(1, true, NOW_MS);
        assertEquals(ErrorType.KEY_DEAD, refusal(registry.present(ONE, key, 7, 2, NOW_MS), RunState.NOT_RUN));
    }

    @Test
    void rejectionIsUnknownIfAnotherAttemptHasStarted() {
        RequestKey key = key(NOW_MS, "k");
        Failure full = Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, 5, "");
        registry.present(ONE, key, 7, 1, NOW_MS);
        assertEquals(RunState.UNKNOWN, registry.refuse(ONE, key, full, NOW_MS).run());
        RequestKey fresh = key(NOW_MS, "l");
        assertEquals(full, registry.refuse(ONE, fresh, full, NOW_MS));
        assertEquals(ErrorType.KEY_DEAD, refusal(registry.present(ONE, fresh, 7, 2, NOW_MS), RunState.NOT_RUN));
    }

    @Test
    void stateOfAnUnseenKeyDependsOnItsAge() {
        assertEquals(
                ErrorType.KEY_DEAD,
                refusal(registry.present(ONE, key(NOW_MS - 21_000, "k"), 7, 1, NOW_MS), RunState.NOT_RUN));
        assertEquals(
                ErrorType.KEY_OUTCOME_UNKNOWN,
                refusal(registry.present(ONE, key(NOW_MS - 61_000, "k"), 7, 1, NOW_MS), RunState.UNKNOWN));
        assertEquals(KeyState.FORGOTTEN, registry.query(ONE, key(NOW_MS - 61_000, "k"), NOW_MS));
        refusal(registry.present(ONE, key(NOW_MS + 9_000, "k"), 7, 1, NOW_MS), RunState.UNKNOWN);
        refusal(
                registry.present(ONE, RequestKey.of(InstanceId.of("a"), 1, Long.MAX_VALUE, "k"), 7, 1, NOW_MS),
                RunState.UNKNOWN);
    }

    // A customer reaches its limit of keys. Its other keys are rejected permanently, until it gets a new prefix; other
    // customers are not affected.
    @Test
    void keyLimitRejectsOnlyItsCustomer() {
        for (int i = 0; i < 4; i++) {
            registry.present(ONE, key(NOW_MS, "k" + i), 7, i, NOW_MS);
        }
        RequestKey refused = key(NOW_MS, "more");
        assertEquals(ErrorType.KEY_LIMIT, refusal(registry.present(ONE, refused, 7, 9, NOW_MS), RunState.NOT_RUN));
        assertEquals(new KeyVerdict.Start(), registry.present(TWO, key(NOW_MS, "k"), 7, 10, NOW_MS));
        for (int i = 0; i < 4; i++) {
            registry.ended(i, false, NOW_MS);
        }
        long laterMs = NOW_MS + 61_000;
        registry.expire(laterMs);
        assertEquals(1, registry.size());
        refusal(registry.present(ONE, refused, 7, 11, laterMs), RunState.UNKNOWN);
        assertEquals(new KeyVerdict.Start(), registry.present(ONE, key(laterMs, "new"), 7, 12, laterMs));
    }

    @Test
    void instanceNameMayContainTheSeparator() {
        RequestKey key = RequestKey.of(InstanceId.of("hall:1"), 1_733_160_000_000L, 1_733_160_123L, "A-b_9.~");
        assertEquals(key, RequestKey.parse(key.toString()));
        assertEquals(null, RequestKey.parse("a:1:1:"));
        assertEquals(null, RequestKey.parse("a:1:zzzzzzzzzzzzz:x"));
        assertEquals(null, RequestKey.parse("a:1:1:x y"));
        assertEquals(null, RequestKey.parse("a".repeat(RequestKey.MAX_CHARS) + ":1:1:x"));
    }

    @Property(tries = 2_000, seed = "20240611")
    void atMostOneExecutionAndNoFalseNotRun(@ForAll long seed) {
        RandomOperations operations = new RandomOperations(new Random(seed));
        for (int step = 0; step < 200; step++) {
            operations.step();
        }
    }

    /** Runs attempts, queries, ends and expiry in random order, some with a clock that goes back. */
    private static final class RandomOperations {
        private final Random random;
        private final KeyRegistry registry = KeyRegistry.create(LIMITS);
        private final Set<String> started = new HashSet<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final Map<Long, String> running = new HashMap<>();
        private long nowMs = NOW_MS;
        private long lastRequestId;

        RandomOperations(Random random) {
            this.random = random;
        }

        void step() {
            nowMs += random.nextInt(4) == 0 ? random.nextInt(9_000) - 2_000 : random.nextInt(200);
            CustomerId customer = random.nextInt(3) == 0 ? TWO : ONE;
            long issuedMs = NOW_MS + random.nextInt(12) * 5_000L;
            RequestKey key = key(issuedMs, "k" + random.nextInt(3));
            String name = customer + "/" + key;
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> present(customer, key, name);
                case 3 -> query(customer, key, name);
                case 4 -> end();
                default -> registry.expire(nowMs);
            }
            assertTrue(registry.size() <= LIMITS.maxKeys(), "the registry exceeds its limit of keys");
        }

        private void present(CustomerId customer, RequestKey key, String name) {
            long requestId = ++lastRequestId;
            KeyVerdict verdict = registry.present(customer, key, 7, requestId, nowMs);
            if (verdict instanceof KeyVerdict.Start) {
                assertTrue(started.add(name), () -> name + " started twice");
                assertTrue(!reportedNotRun.contains(name), () -> name + " started after it was reported as not run");
                running.put(requestId, name);
            } else if (verdict instanceof KeyVerdict.Refused refused
                    && refused.failure().run() == RunState.NOT_RUN) {
                recordNotRun(name);
            } else if (verdict instanceof KeyVerdict.Attach attach) {
                assertEquals(name, running.get(attach.requestId()), "attached to the request of another key");
            }
        }

        private void query(CustomerId customer, RequestKey key, String name) {
            KeyState state = registry.query(customer, key, nowMs);
            if (state == KeyState.NEVER_SEEN || state == KeyState.DEAD) {
                recordNotRun(name);
            }
        }

        private void end() {
            if (running.isEmpty()) {
                return;
            }
            List<Long> ids = new ArrayList<>(running.keySet());
            long requestId = ids.get(random.nextInt(ids.size()));
            String name = running.remove(requestId);
            boolean notRun = random.nextInt(3) == 0;
            registry.ended(requestId, notRun, nowMs);
            if (notRun) {
                started.remove(name);
                reportedNotRun.add(name);
            }
        }

        private void recordNotRun(String name) {
            assertTrue(!started.contains(name), () -> name + " reported as not run, but was started");
            reportedNotRun.add(name);
        }
    }
}
