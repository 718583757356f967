package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Data centres that the operators evacuate: their targets get nothing new, whichever instance knows first. */
class EvacuationTest extends PlacementFleet {
    private static final DataCentreId EAST = DataCentreId.of("east");
    private static final DataCentreId WEST = DataCentreId.of("west");
    private static final TargetId EAST_TARGET = TargetId.of("t-east");
    private static final TargetId WEST_TARGET = TargetId.of("t-west");

    @BeforeEach
    void twoDataCentres() {
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settingsOf(EAST, WEST))));
    }

    /** Guards against new requests in an evacuated data centre; those that run there continue. */
    @Test
    void evacuatedDataCentreGetsNoNewRequests() {
        fillAllSlots();
        INSTANCES.forEach(id -> evacuate(id, 10, EAST));
        assertTrue(cancelled.isEmpty());
        endAll();
        fillAllSlots();
        assertEquals(SLOTS, startsAt(WEST_TARGET, 2 * SLOTS));
        assertEquals(0, startsAt(EAST_TARGET, 2 * SLOTS));
    }

    /** Guards against an arbiter that cannot read the store and keeps selecting evacuated targets. */
    @Test
    void entryForwardsTheEvacuationToTheArbiter() {
        evacuate(entry, 10, EAST);
        entry = arbiter;
        fillAllSlots();
        assertEquals(0, startsAt(EAST_TARGET, 0));
        assertEquals(SLOTS, startsAt(WEST_TARGET, 0));
    }

    /** Guards against a send for which the placement was under way when the entry learned of the evacuation. */
    @Test
    void placementInTransitIsReturned() {
        frozen.add(arbiter);
        arrive(true, 2, false);
        apply(entry, new Event.DataCentresEvacuated(Evacuations.of(10, Set.of(EAST))));
        frozen.clear();
        wire.clear();
        wire.add(new Sent(arbiter, entry, new PeerMessage.Placed(CELL, 1, EAST_TARGET, null, 0)));
        deliver();
        assertEquals(0, startsAt(EAST_TARGET, 0));
    }

    /** Guards against fetching cached prompt parts from an evacuated target. */
    @Test
    void nothingIsFetchedFromAnEvacuatedDataCentre() {
        frozen.add(arbiter);
        arrive(true, 2, false);
        apply(entry, new Event.DataCentresEvacuated(Evacuations.of(10, Set.of(EAST))));
        frozen.clear();
        wire.clear();
        wire.add(new Sent(arbiter, entry, new PeerMessage.Placed(CELL, 1, WEST_TARGET, EAST_TARGET, 0)));
        deliver();
        assertEquals(WEST_TARGET, dispatched.get(0).target());
        assertNull(dispatched.get(0).fetchFrom());
    }

    /** Guards against an older list that arrives late from a peer and undoes an evacuation. */
    @Test
    void olderListIsIgnored() {
        INSTANCES.forEach(id -> evacuate(id, 10, EAST));
        INSTANCES.forEach(id -> evacuate(id, 9));
        fillAllSlots();
        assertEquals(0, startsAt(EAST_TARGET, 0));
    }

    /** Guards against a data centre that stays unused after the evacuation has ended. */
    @Test
    void dataCentreIsUsedAgainAfterwards() {
        INSTANCES.forEach(id -> evacuate(id, 10, EAST));
        INSTANCES.forEach(id -> evacuate(id, 11));
        fillAllSlots();
        assertEquals(SLOTS, startsAt(EAST_TARGET, 0));
    }

    /** Guards against an instance that starts during an outage of the store and learns of the evacuation from none. */
    @Test
    void restartedInstanceLearnsOfTheEvacuationFromItsPeers() {
        INSTANCES.forEach(id -> evacuate(id, 10, EAST));
        restart(arbiter);
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settingsOf(EAST, WEST))));
        entry = arbiter;
        fillAllSlots();
        assertEquals(0, startsAt(EAST_TARGET, 0));
        assertEquals(SLOTS, startsAt(WEST_TARGET, 0));
    }

    /** Guards against an entry that missed the end of an evacuation and returns every placement there for good. */
    @Test
    void entryThatMissedTheEndLearnsOfItFromTheArbiter() {
        INSTANCES.forEach(id -> evacuate(id, 10, EAST));
        cutLink(entry, arbiter);
        INSTANCES.stream().filter(id -> !id.equals(entry)).forEach(id -> evacuate(id, 11));
        healLink(entry, arbiter);
        fillAllSlots();
        advance(100);
        assertEquals(SLOTS, startsAt(EAST_TARGET, 0));
    }

    /** Guards against callers that wait until their deadline though no data centre is left. */
    @Test
    void requestIsRejectedWhileAllDataCentresAreEvacuated() {
        INSTANCES.forEach(id -> evacuate(id, 10, EAST, WEST));
        long request = arrive(true, 2, false);
        assertEquals(
                ErrorType.DATA_CENTRES_EVACUATED, failure(request).failure().type());
        assertEquals(RunState.NOT_RUN, failure(request).failure().run());
        assertTrue(failure(request).failure().retryAfterMs() > 0);
    }

    /** Guards against a name that belongs to no data centre and takes others out of use. */
    @Test
    void unknownDataCentreChangesNothing() {
        INSTANCES.forEach(id -> evacuate(id, 10, DataCentreId.of("nowhere")));
        fillAllSlots();
        assertEquals(2 * SLOTS, dispatched.size());
    }

    private void evacuate(InstanceId at, long revision, DataCentreId... dataCentres) {
        apply(at, new Event.DataCentresEvacuated(Evacuations.of(revision, Set.of(dataCentres))));
    }

    private void fillAllSlots() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            arrive(true, 2, false);
        }
    }

    private void endAll() {
        for (long request = 1; request <= requests; request++) {
            end(request, TargetOutcome.COMPLETED);
        }
    }

    /** Number of requests started at the target, not counting the first {@code skipped} starts. */
    private long startsAt(TargetId target, int skipped) {
        return dispatched.stream()
                .skip(skipped)
                .map(Action.Dispatch::target)
                .filter(target::equals)
                .count();
    }
}
