package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;

/** Tests the change of arbiter with three kernels whose messages arrive immediately unless one of them is paused. */
class ArbiterFailoverTest {
    private static final CellId CELL = CellId.of(RandomFleet.POOL, 0);
    private static final FleetSettings SETTINGS = RandomFleet.settings(1, 1);
    private static final List<Member> MEMBERS = List.of(member("a"), member("b"), member("c"));
    private static final long TICK_MS = 10;
    private static final int SLOTS = 2;

    private final Map<InstanceId, InstanceKernel> kernels = new TreeMap<>();
    private final List<Action.Dispatch> dispatched = new ArrayList<>();
    private final List<Runnable> heldBack = new ArrayList<>();
    private final Deque<Runnable> inTransit = new ArrayDeque<>();
    private boolean delivering;
    private InstanceId paused = InstanceId.of("none");
    private long nowMs = 1_000;
    private long nextRequestId = 1;

    ArbiterFailoverTest() {
        for (Member member : MEMBERS) {
            kernels.put(member.id(), InstanceKernel.create(member));
        }
        for (InstanceId id : kernels.keySet()) {
            apply(id, new Event.SettingsAccepted(SETTINGS));
            apply(id, new Event.ViewChanged(FleetView.of(MEMBERS)));
        }
        advance(500);
    }

    @Test
    void entriesLeaveAPausedArbiterBeforeTheViewChanges() {
        // The arbiter's process is paused: its links stay up, but it sends nothing, so the request waits although slots
        // are free. After 400 ms of silence the entry registers with the next instance in the cell's rank, which grants
        // after its registration window, without a membership change.
        InstanceId arbiter = arbiter();
        InstanceId entry = otherThan(arbiter);
        paused = arbiter;
        arrive(entry);

        advance(350);
        assertEquals(0, dispatched.size());
        advance(600);

        assertEquals(1, dispatched.size());
        assertNotEquals(arbiter, kernel(entry).arbiterOf(CELL));
    }

    @Test
    void resumedArbiterIsUsedAgainAndItsOldGrantsAreDeclined() {
        // The paused arbiter resumes with a backlog of messages and grants from outdated state. The entry declines
        // those grants, since it has left the arbiter, and then registers with it again. Nothing runs twice.
        InstanceId arbiter = arbiter();
        InstanceId entry = otherThan(arbiter);
        paused = arbiter;
        arrive(entry);
        advance(1_000);
        assertEquals(1, dispatched.size());

        resume();
        advance(1_000);

        assertEquals(arbiter, kernel(entry).arbiterOf(CELL));
        assertEquals(1, dispatched.size());
        end(entry, 1);
        for (int i = 0; i < SLOTS; i++) {
            arrive(entry);
        }
        advance(1_000);
        assertEquals(1 + SLOTS, dispatched.size());
    }

    @Test
    void silentArbiterIsNotProbedWhileNoRequestWaits() {
        InstanceId arbiter = arbiter();
        InstanceId entry = otherThan(arbiter);
        paused = arbiter;
        heldBack.clear();

        advance(5_000);

        assertTrue(heldBack.isEmpty(), "messages to an arbiter while no request waits");
        assertEquals(arbiter, kernel(entry).arbiterOf(CELL));
    }

    @Test
    void partitionHasTwoArbitersAndHealsToOne() {
        // A partition separates the arbiter from one other instance. Each side has its own arbiter, so callers on both
        // sides are served and over-admission is bounded by each side's slots. After the partition heals, the first
        // arbiter counts the requests in flight on the other side and grants nothing beyond the slots.
        InstanceId arbiter = arbiter();
        InstanceId entry = otherThan(arbiter);
        paused = arbiter;
        for (int i = 0; i < 5; i++) {
            arrive(entry);
        }
        advance(1_000);
        assertEquals(SLOTS, dispatched.size());
        resume();
        advance(1_000);
        for (int i = 0; i < 5; i++) {
            arrive(arbiter);
        }
        advance(1_000);

        assertEquals(SLOTS, dispatched.size());
        end(entry, 1);
        advance(100);
        assertEquals(SLOTS + 1, dispatched.size());
    }

    @Test
    void pausedEntryIsNotGrantedUntilItResumes() {
        // An entry is paused with requests waiting, so grants to it start nothing. If the arbiter kept granting its
        // offers, requests of other entries would wait while slots stay empty. After 400 ms of silence the entry's
        // offers are withdrawn; once it sends a message again, the arbiter requests a new registration.
        InstanceId arbiter = arbiter();
        InstanceId entry = otherThan(arbiter);
        for (int i = 0; i < 8; i++) {
            arrive(entry);
        }
        advance(100);
        assertEquals(SLOTS, dispatched.size());

        paused = entry;
        advance(1_000);
        resume();
        for (long request = 1; request <= 8; request++) {
            end(entry, request);
            advance(200);
        }

        assertEquals(8, dispatched.size());
    }

    private static Member member(String name) {
        return Member.of(InstanceId.of(name), 1, DataCentreId.of("dc"), false);
    }

    private InstanceId arbiter() {
        InstanceId arbiter = kernels.values().iterator().next().arbiterOf(CELL);
        assertNotNull(arbiter);
        return arbiter;
    }

    private InstanceId otherThan(InstanceId instance) {
        return kernels.keySet().stream()
                .filter(id -> !id.equals(instance))
                .findFirst()
                .orElseThrow();
    }

    private InstanceKernel kernel(InstanceId id) {
        InstanceKernel kernel = kernels.get(id);
        assertNotNull(kernel);
        return kernel;
    }

    private void arrive(InstanceId entry) {
        long id = nextRequestId++;
        apply(
                entry,
                new Event.RequestArrived(new RequestSpec(
                        id, CustomerId.of("c0"), RandomFleet.POOL, 3, false, 10, 0, 0, nowMs + 60_000)));
    }

    private void end(InstanceId entry, long requestId) {
        apply(entry, new Event.TargetEnded(requestId, TargetOutcome.COMPLETED, Usage.of(10, 0, 100, 50)));
    }

    private void advance(long durationMs) {
        for (long untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += TICK_MS) {
            List.copyOf(kernels.keySet()).forEach(id -> apply(id, new Event.Tick()));
        }
    }

    private void resume() {
        paused = InstanceId.of("none");
        inTransit.addAll(heldBack);
        heldBack.clear();
        deliver();
    }

    private void apply(InstanceId id, Event event) {
        if (id.equals(paused)) {
            if (!(event instanceof Event.Tick)) {
                heldBack.add(() -> apply(id, event));
            }
            return;
        }
        for (Action action : kernel(id).apply(event, nowMs)) {
            if (action instanceof Action.Dispatch dispatch) {
                dispatched.add(dispatch);
            } else if (action instanceof Action.SendPeer send) {
                PeerMessage message = send.message();
                inTransit.add(() -> apply(send.to(), new Event.PeerReceived(id, 1, message)));
            }
        }
        deliver();
    }

    /** Delivers messages in the order in which they were sent, as a link does. */
    private void deliver() {
        if (delivering) {
            return;
        }
        delivering = true;
        while (!inTransit.isEmpty()) {
            inTransit.remove().run();
        }
        delivering = false;
    }
}
