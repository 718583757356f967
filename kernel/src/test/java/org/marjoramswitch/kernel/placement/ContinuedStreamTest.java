package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Tests the turn of requests that continue a stream, which only one of a pool's software versions can serve. */
class ContinuedStreamTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final InstanceId ENTRY = InstanceId.of("entry");
    private static final CustomerId CUSTOMER = CustomerId.of("a");
    private static final long OBJECTIVE_MS = 400;
    private static final long PAST_OBJECTIVE_MS = -1_000;
    private static final long TIMEOUT_MS = 8_000;
    private static final int SLOTS = 2;
    private static final int PROMPT_TOKENS = 500;
    /** More than an arbiter examines of one customer in a pass. */
    private static final int MANY = 20;

    private final PlacementArbiter arbiter =
            PlacementArbiter.create(CELL, PoolSettings.modelEngines(POOL), customer -> 1);
    private final Map<Long, TargetId> placed = new HashMap<>();
    private final Set<Long> rejected = new HashSet<>();
    private long nowMs = 10_000;
    private long lastId;

    @BeforeEach
    void setTargets() {
        arbiter.targets(List.of(target("old", "v1"), target("new", "v2")), Set.of());
    }

    /**
     * Guards against rejecting streams while new ones begin. A stream is always past the objective for its first byte,
     * and late requests are rejected while others wait.
     */
    @Test
    void streamPastItsObjectiveWaitsForItsTurn() {
        List<Long> running = fill();
        long first = send("", OBJECTIVE_MS);
        long stream = send("v1", PAST_OBJECTIVE_MS);
        assertNull(placed.get(first));
        assertFalse(rejected.contains(stream));
        running.forEach(this::end);
        assertEquals(TargetId.of("old"), placed.get(stream));
    }

    /** Guards against rejecting a stream for a queue at targets that it cannot use. */
    @Test
    void streamIsNotRejectedForTheQueueOfOtherTargets() {
        learnFirstByteTimes();
        fillVersion("v2");
        for (int i = 0; i < MANY; i++) {
            send("v2", OBJECTIVE_MS);
        }
        assertEquals(TargetId.of("old"), placed.get(send("v1", OBJECTIVE_MS)));
        send("v1", OBJECTIVE_MS);
        assertFalse(rejected.contains(send("v1", OBJECTIVE_MS)));
    }

    /** Guards against idle targets while a customer's streams wait for the other version. */
    @Test
    void newRequestPassesStreamsThatWaitForAnotherVersion() {
        fillVersion("v1");
        for (int i = 0; i < MANY; i++) {
            send("v1", OBJECTIVE_MS);
        }
        nowMs += 50;
        assertEquals(TargetId.of("new"), placed.get(send("", OBJECTIVE_MS)));
    }

    /** Guards against an entry that takes its arbiter for late because this one holds a stream for too long. */
    @Test
    void streamIsRejectedBeforeItsEntryExpectsIt() {
        fillVersion("v1");
        long stream = send("v1", PAST_OBJECTIVE_MS);
        long responseDueAtMs = LateRequestHold.responseDueAtMs(
                nowMs + PAST_OBJECTIVE_MS, nowMs + TIMEOUT_MS, nowMs + TIMEOUT_MS, nowMs);
        while (nowMs < responseDueAtMs) {
            nowMs += 10;
            decide();
        }
        assertTrue(rejected.contains(stream));
    }

    private List<Long> fill() {
        List<Long> running = fillVersion("v1");
        running.addAll(fillVersion("v2"));
        return running;
    }

    private List<Long> fillVersion(String version) {
        List<Long> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            long id = send(version, OBJECTIVE_MS);
            nowMs += 30;
            arbiter.responseStarted(ENTRY, id, 0, nowMs);
            running.add(id);
        }
        assertEquals(SLOTS, running.stream().filter(placed::containsKey).count());
        return running;
    }

    private void learnFirstByteTimes() {
        for (int i = 0; i < MANY; i++) {
            long id = send("", OBJECTIVE_MS);
            nowMs += 100;
            arbiter.responseStarted(ENTRY, id, 0, nowMs);
            end(id);
        }
    }

    private long send(String version, long objectiveLeftMs) {
        long id = ++lastId;
        List<PromptPart> prompt = List.of(PromptPart.of(id, PROMPT_TOKENS));
        arbiter.place(
                ENTRY,
                new PeerMessage.Place(
                        CELL,
                        id,
                        CUSTOMER,
                        1,
                        prompt,
                        10,
                        objectiveLeftMs,
                        TIMEOUT_MS,
                        TIMEOUT_MS,
                        List.of(),
                        version,
                        PeerMessage.Place.NO_STREAM),
                0,
                nowMs);
        decide();
        return id;
    }

    private void end(long id) {
        arbiter.attemptEnded(ENTRY, new PeerMessage.PlacementEnded(CELL, id, 10, PlacementEnd.SERVED), nowMs);
        decide();
    }

    private void decide() {
        arbiter.decide(nowMs, action -> {
            PeerMessage message = message(action);
            if (message instanceof PeerMessage.Placed placement) {
                placed.put(placement.placementId(), placement.target());
            } else if (message instanceof PeerMessage.NotPlaced rejection) {
                rejected.add(rejection.placementId());
            }
        });
    }

    private static @Nullable PeerMessage message(Action action) {
        return action instanceof Action.SendPeer send ? send.message() : null;
    }

    private static TargetSettings target(String name, String version) {
        return new TargetSettings(TargetId.of(name), POOL, "10.0.0.1", 80, DataCentreId.of("dc"), SLOTS, false)
                .withSoftwareVersion(version);
    }
}
