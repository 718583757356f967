package org.marjoramswitch.kernel.arbiter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

class ArbiterTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final InstanceId E1 = InstanceId.of("e1");
    private static final InstanceId E2 = InstanceId.of("e2");
    private static final CustomerId A = CustomerId.of("a");
    private static final CustomerId B = CustomerId.of("b");
    private static final TargetId T1 = TargetId.of("t1");
    private static final long OPEN_AT_MS = 250;
    private static final long NOW_MS = 1_000;
    private static final int SLOTS = 2;

    private final Arbiter arbiter = Arbiter.create(
            CELL,
            PoolSettings.modelEngines(POOL),
            customer -> 1,
            KernelOptions.defaults().withAdmitAhead(0),
            OPEN_AT_MS);

    ArbiterTest() {
        arbiter.targets(List.of(target(T1)), Set.of());
    }

    @Test
    void collectsRegistrationsBeforeTheFirstGrant() {
        // Guards against grants for occupied slots: a new arbiter receives the requests in flight at other entries only
        // with their registrations, so an immediate grant would overload engines at every change of arbiter.
        register(E1, offer(A, 5));

        assertEquals(List.of(), grants(OPEN_AT_MS - 1));
        register(E2, List.of(), List.of(holding(1, A), holding(2, A)), 0);

        assertEquals(List.of(), grants(NOW_MS));
    }

    @Test
    void reRegistrationKeepsGrantsInTransit() {
        // The entry re-registers while grant 2 is in transit. Dropping the grant would free a slot that is about to be
        // used; counting it twice would leave the slot empty forever.
        register(E1, offer(A, 2));
        assertEquals(2, grants(NOW_MS).size());

        register(E1, List.of(offer(A, 1)), List.of(holding(77, A)), 1);

        assertEquals(List.of(), grants(NOW_MS));
        arbiter.attemptEnded(E1, -77, 10, false, NOW_MS);
        assertEquals(1, grants(NOW_MS).size());
    }

    @Test
    void grantToAnEarlierIncarnationIsDropped() {
        // The entry restarts without state: earlier grants to it never start, so their slots are free again.
        register(E1, offer(A, 2));
        assertEquals(2, grants(NOW_MS).size());

        arbiter.register(E1, 2, new PeerMessage.Register(CELL, List.of(offer(A, 2)), List.of(), List.of(), 0), NOW_MS);

        assertEquals(2, grants(NOW_MS).size());
    }

    @Test
    void declinedGrantIsRefunded() {
        register(E1, offer(A, 1), offer(B, 1));
        List<PeerMessage.Grant> first = grants(NOW_MS);
        assertEquals(2, first.size());

        first.forEach(grant -> arbiter.declined(E1, grant.sequence(), PeerMessage.DeclineReason.NOTHING_WAITING));
        register(E1, offer(A, 1), offer(B, 1));

        assertEquals(2, grants(NOW_MS).size());
    }

    @Test
    void drainingTargetIsNotGranted() {
        arbiter.targets(List.of(target(T1)), Set.of(T1));
        register(E1, offer(A, 3));

        assertEquals(List.of(), grants(NOW_MS));
    }

    /** Guards against two requests per slot after a target was missing from the list while its requests continued. */
    @Test
    void targetThatIsListedAgainKeepsItsRequestsInFlight() {
        register(E1, offer(A, 8));
        List<PeerMessage.Grant> running = grants(NOW_MS);
        assertEquals(SLOTS, running.size());

        arbiter.targets(List.of(), Set.of());
        arbiter.targets(List.of(target(T1)), Set.of());

        assertEquals(List.of(), grants(NOW_MS));
        arbiter.attemptEnded(E1, running.get(0).sequence(), 10, false, NOW_MS);
        assertEquals(1, grants(NOW_MS).size());
    }

    @Test
    void failingTargetIsEjectedAndReadmittedByAProbe() {
        // The target fails every request immediately. Without ejection it frees its slots first and receives all
        // waiting requests, so every request would fail although the other targets work.
        register(E1, offer(A, 16));
        for (int i = 0; i < 3; i++) {
            grants(NOW_MS).forEach(grant -> arbiter.attemptEnded(E1, grant.sequence(), 0, true, NOW_MS));
        }

        assertEquals(List.of(), grants(NOW_MS + 10));
        List<PeerMessage.Grant> probe = grants(NOW_MS + 1_001);
        assertEquals(1, probe.size());
        arbiter.attemptEnded(E1, probe.get(0).sequence(), 100, false, NOW_MS + 1_100);
        assertEquals(SLOTS, grants(NOW_MS + 1_101).size());
    }

    @Test
    void offersOfADisconnectedEntryAreNotGranted() {
        register(E1, offer(A, 3));
        arbiter.disconnected(E1);

        assertEquals(List.of(), grants(NOW_MS));
        register(E1, offer(A, 3));
        assertEquals(SLOTS, grants(NOW_MS).size());
    }

    @Test
    void slotsTakenByForeignLoadAreNotGranted() {
        // A second arbiter grants the same target's slots across a partition; only the load report shows its requests.
        register(E1, offer(A, 3));
        arbiter.reported(T1, LoadReport.of(NOW_MS, 1, 0, SLOTS), NOW_MS);

        assertEquals(1, grants(NOW_MS).size());
    }

    @Test
    void theEntryWithTheMostUrgentRequestIsGrantedFirst() {
        register(E1, new PeerMessage.Offer(A, 1, 3));
        register(E2, new PeerMessage.Offer(A, 1, 0));

        List<InstanceId> order = new ArrayList<>();
        arbiter.grantFreeSlots(NOW_MS, action -> {
            if (action instanceof Action.SendPeer send) {
                order.add(send.to());
            }
        });

        assertEquals(List.of(E2, E1), order);
    }

    @Test
    void chargesOfAnotherCellAreCounted() {
        register(E1, offer(A, 16), offer(B, 16));
        arbiter.charges(new PeerMessage.Charges(CellId.of(POOL, 1), Map.of(A, 900L), 0));

        List<PeerMessage.Grant> grants = grants(NOW_MS);

        assertTrue(grants.stream().allMatch(grant -> grant.customer().equals(B)), grants::toString);
    }

    @Test
    void chargesWithoutBacklogAreNotSent() {
        // A light customer is served here for a long time without a backlog whenever charges are sent. Sent in one
        // message at its first backlog, the accumulated charges would delay it at the other cells for seconds.
        register(E1, offer(A, 1));
        PeerMessage.Grant grant = grants(NOW_MS).get(0);
        assertNull(arbiter.chargesToSend(NOW_MS));
        arbiter.attemptEnded(E1, grant.sequence(), 5_000, false, NOW_MS);

        register(E1, offer(A, SLOTS + 2));
        assertNull(arbiter.chargesToSend(NOW_MS + 250));
        grants(NOW_MS + 250);

        PeerMessage.Charges charges = arbiter.chargesToSend(NOW_MS + 500);
        assertNotNull(charges);
        assertTrue(charges.chargedTokens().get(A) < 5_000, charges::toString);
    }

    private static TargetSettings target(TargetId id) {
        return new TargetSettings(id, POOL, "127.0.0.1", 1, DataCentreId.of("dc"), SLOTS, true);
    }

    private static PeerMessage.Offer offer(CustomerId customer, int waiting) {
        return new PeerMessage.Offer(customer, waiting, 3);
    }

    private static PeerMessage.Holding holding(long localId, CustomerId customer) {
        return new PeerMessage.Holding(localId, customer, T1, 0);
    }

    private void register(InstanceId entry, PeerMessage.Offer... offers) {
        register(entry, List.of(offers), List.of(), 0);
    }

    private void register(
            InstanceId entry, List<PeerMessage.Offer> offers, List<PeerMessage.Holding> holdings, long lastSequence) {
        arbiter.register(entry, 1, new PeerMessage.Register(CELL, offers, holdings, List.of(), lastSequence), NOW_MS);
    }

    private List<PeerMessage.Grant> grants(long nowMs) {
        List<PeerMessage.Grant> grants = new ArrayList<>();
        arbiter.grantFreeSlots(nowMs, action -> {
            if (action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.Grant grant) {
                grants.add(grant);
            }
        });
        return grants;
    }
}
