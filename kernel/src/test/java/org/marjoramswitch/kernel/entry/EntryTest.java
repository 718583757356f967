package org.marjoramswitch.kernel.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.kernel.stream.StreamDirectory;

class EntryTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final CustomerId CUSTOMER = CustomerId.of("a");
    private static final InstanceId SELF = InstanceId.of("self");
    private static final InstanceId ARBITER = InstanceId.of("arbiter");
    private static final TargetId T1 = TargetId.of("t1");
    private static final TargetId T2 = TargetId.of("t2");
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    private static final long DEADLINE_MS = 30_000;
    private static final int MAX_QUEUED = 3;
    /** More than the initial retry budget and what their successes add to it. */
    private static final int REFUSED_REQUESTS = 20;

    private final FleetState fleet = FleetState.of(view(ARBITER));
    private final Entry entry = Entry.create(SELF, KernelOptions.defaults(), fleet, StreamDirectory.create());
    private final List<Action> actions = new ArrayList<>();
    private long nowMs = 1_000;
    private long sequence = 1;

    @BeforeEach
    void acceptSettings() {
        CustomerSettings customer = new CustomerSettings(CUSTOMER, "team", 1, Set.of(), MAX_QUEUED);
        fleet.settings(FleetSettings.of(
                1,
                Map.of(CUSTOMER, customer),
                Map.of(POOL, PoolSettings.modelEngines(POOL)),
                Map.of(T1, target(T1), T2, target(T2))));
    }

    @Test
    void requestsBeyondTheCustomerQueueLimitAreRejectedWithRetryAfter() {
        for (int id = 1; id <= MAX_QUEUED + 1; id++) {
            arrive(id, true);
        }

        Failure failure = onlyFailure();
        assertEquals(ErrorType.CUSTOMER_QUEUE_FULL, failure.type());
        assertEquals(RunState.NOT_RUN, failure.run());
        assertTrue(failure.retryAfterMs() > 0);
    }

    /** Guards against a 404 for a proper request that was routed by settings with another set of pools. */
    @Test
    void requestOnAPoolThatIsMissingIsRejectedWithRetryAfter() {
        fleet.settings(FleetSettings.of(2, Map.of(), Map.of(), Map.of()));
        arrive(1, true);

        Failure failure = onlyFailure();
        assertEquals(503, failure.type().httpStatus());
        assertEquals(RunState.NOT_RUN, failure.run());
        assertTrue(failure.retryAfterMs() > 0);
    }

    @Test
    void brokenAttemptFollowedByRejectedOnesEndsAsUnknown() {
        // The first target accepts the request and breaks off; the retry is rejected by the second. The failure must
        // not be "not run", since the first target may have executed the request.
        arrive(1, true);
        grant(T1);
        end(1, TargetOutcome.BROKEN_BEFORE_ANSWER);
        for (int attempt = 2; attempt <= 4; attempt++) {
            grant(T2);
            end(1, TargetOutcome.REFUSED);
        }

        assertEquals(RunState.UNKNOWN, onlyFailure().run());
    }

    /** Guards against an unknown outcome because refused connections of a crashed target have used up the retry budget. */
    @Test
    void refusedAttemptsLeaveRetriesForRequestsThatMayHaveRun() {
        for (int id = 1; id <= REFUSED_REQUESTS; id++) {
            arrive(id, true);
            grant(T1);
            end(id, TargetOutcome.REFUSED);
            grant(T2);
            end(id, TargetOutcome.COMPLETED);
        }
        arrive(REFUSED_REQUESTS + 1, true);
        grant(T1);
        actions.clear();
        end(REFUSED_REQUESTS + 1, TargetOutcome.BROKEN_BEFORE_ANSWER);
        grant(T2);

        assertEquals(0, count(Action.Fail.class));
        assertEquals(1, count(Action.Dispatch.class));
    }

    /**
     * Guards against a request whose attempts are all refused by one crashed target, which is granted again and again
     * until its arbiter ejects it, while another target serves.
     */
    @Test
    void requestIsNotSentAgainToATargetThatRefusedItsConnection() {
        arrive(1, true);
        grant(T1);
        end(1, TargetOutcome.CONNECTION_REFUSED);
        for (int i = 0; i < 3; i++) {
            grant(T1);
            end(1, TargetOutcome.CONNECTION_REFUSED);
        }
        grant(T2);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(0, count(Action.Fail.class));
        assertEquals(
                List.of(T1, T2),
                dispatched().stream().map(Action.Dispatch::target).toList());
        assertEquals(1, count(Action.Complete.class));
    }

    /** Guards against an endless exchange of grants and returns: a returned grant has to eject the target as well. */
    @Test
    void grantOfATargetThatRefusedAllWaitingRequestsIsReturnedAsAFault() {
        arrive(1, true);
        grant(T1);
        end(1, TargetOutcome.CONNECTION_REFUSED);
        actions.clear();
        long returned = sequence;
        grant(T1);

        List<PeerMessage> sent = sent();
        assertEquals(new PeerMessage.Ended(CELL, returned, 0, true), sent.get(0));
        assertEquals(new PeerMessage.Demand(CELL, CUSTOMER, 1, RequestSpec.DEFAULT_URGENCY), sent.get(1));
        assertEquals(0, count(Action.Dispatch.class));
    }

    /** Guards against a restarted target that stays ejected, since its probes are returned. */
    @Test
    void targetThatRefusedARequestIsProbedWithIt() {
        arrive(1, true);
        grant(T1);
        end(1, TargetOutcome.CONNECTION_REFUSED);
        nowMs += 1_000;
        grant(T1);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(1, count(Action.Complete.class));
    }

    /** Guards against a request that waits until its deadline, since each of the targets has refused it. */
    @Test
    void requestThatAllTargetsRefuseEndsAsNotRun() {
        arrive(1, true);
        for (int i = 0; i < 2; i++) {
            grant(T1);
            end(1, TargetOutcome.CONNECTION_REFUSED);
            grant(T2);
            end(1, TargetOutcome.CONNECTION_REFUSED);
        }

        assertEquals(ErrorType.TARGET_REFUSED, onlyFailure().type());
        assertEquals(RunState.NOT_RUN, onlyFailure().run());
    }

    @Test
    void nonRepeatableRequestIsNotRetriedAfterABrokenAttempt() {
        arrive(1, false);
        grant(T1);
        end(1, TargetOutcome.BROKEN_BEFORE_ANSWER);

        assertEquals(RunState.UNKNOWN, onlyFailure().run());
        assertEquals(1, count(Action.Dispatch.class));
    }

    @Test
    void nonRepeatableRequestIsRetriedAfterATargetRejectedIt() {
        arrive(1, false);
        grant(T1);
        end(1, TargetOutcome.REFUSED);
        grant(T2);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(2, count(Action.Dispatch.class));
        assertEquals(1, count(Action.Complete.class));
    }

    @Test
    void waitingRequestFailsAtItsDeadlineAsNotRun() {
        arrive(1, false);
        nowMs = DEADLINE_MS;
        tick();

        assertEquals(ErrorType.WAIT_TIMEOUT, onlyFailure().type());
        assertEquals(RunState.NOT_RUN, onlyFailure().run());
    }

    @Test
    void grantFromAnInstanceThatIsNotTheArbiterIsDeclined() {
        // A former arbiter that was paused until it was replaced resumes and grants from outdated state. The slot may
        // be taken by now; accepting the grant would put load on the target that the current arbiter does not account
        // for.
        arrive(1, true);
        entry.granted(InstanceId.of("former"), new PeerMessage.Grant(CELL, 1, CUSTOMER, T1, 0), nowMs, actions::add);

        assertEquals(0, count(Action.Dispatch.class));
        assertEquals(PeerMessage.DeclineReason.NOT_THE_ARBITER, onlyDecline().reason());
    }

    @Test
    void grantForADrainingTargetIsDeclined() {
        arrive(1, true);
        fleet.leavingTargets(Set.of(T1));
        grant(T1);

        assertEquals(0, count(Action.Dispatch.class));
        assertEquals(PeerMessage.DeclineReason.TARGET_LEAVING, onlyDecline().reason());
    }

    @Test
    void requestIsOfferedAgainAfterItsGrantWasDeclined() {
        // The entry knows that the granted target is draining, the arbiter does not yet. The arbiter decremented the
        // offer for that grant; without a new offer, the caller waits until the deadline although slots are free.
        arrive(1, true);
        fleet.leavingTargets(Set.of(T1));
        actions.clear();
        grant(T1);

        PeerMessage.Demand demand = actions.stream()
                .filter(Action.SendPeer.class::isInstance)
                .map(action -> ((Action.SendPeer) action).message())
                .filter(PeerMessage.Demand.class::isInstance)
                .map(PeerMessage.Demand.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(1, demand.added());
    }

    @Test
    void slotIsReusedWhileTheArbiterIsUnreachable() {
        // The arbiter crashes and the entry's request ends, so nobody can grant the slot. The entry's next request
        // takes it immediately, and the next arbiter is notified by the registration.
        arrive(1, true);
        arrive(2, true);
        grant(T1);
        fleet.reachable(ARBITER, false);
        entry.registrations().fleetChanged(nowMs, actions::add);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(2, count(Action.Dispatch.class));
        assertEquals(1, count(Action.Complete.class));
    }

    @Test
    void noSlotIsReusedWhileTheArbiterGrants() {
        arrive(1, true);
        arrive(2, true);
        grant(T1);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(1, count(Action.Dispatch.class));
    }

    @Test
    void mostUrgentRequestOfTheCustomerTakesTheGrant() {
        arrive(1, true);
        entry.arrived(spec(2, true, 0, 0), nowMs, actions::add);
        grant(T1);

        assertEquals(2, dispatched().get(0).requestId());
    }

    @Test
    void grantIsBoundToARequestWhosePrefixTheTargetHasCached() {
        arrive(1, true);
        entry.arrived(spec(2, true, RequestSpec.DEFAULT_URGENCY, 99), nowMs, actions::add);
        entry.prefixCached(T1, 99, true);
        grant(T1);

        assertEquals(2, dispatched().get(0).requestId());
    }

    @Test
    void retryPrefersATargetThatHasNotFailedTheRequest() {
        arrive(1, true);
        arrive(2, true);
        grant(T1);
        end(1, TargetOutcome.REFUSED);
        grant(T1);

        assertEquals(2, dispatched().get(1).requestId());
    }

    @Test
    void entryRegistersAgainAfterItsArbiterLostTheRegistration() {
        // The arbiter considered this entry dead and dropped its offers while the link stayed up. Without the
        // notification its requests would wait until their deadline although slots are free.
        arrive(1, true);
        actions.clear();
        entry.registrations().registrationLost(ARBITER, CELL, nowMs, actions::add);

        PeerMessage.Register register = (PeerMessage.Register) ((Action.SendPeer) actions.get(0)).message();
        assertEquals(1, register.offers().get(0).waiting());
    }

    @Test
    void drainingEntryFinishesAcceptedRequestsAndRejectsNewOnes() {
        arrive(1, true);
        entry.drain();
        arrive(2, true);
        grant(T1);
        end(1, TargetOutcome.COMPLETED);

        assertEquals(ErrorType.INSTANCE_LEAVING, onlyFailure().type());
        assertEquals(1, count(Action.Complete.class));
        assertEquals(0, entry.openCount());
    }

    private static FleetView view(InstanceId... members) {
        return FleetView.of(java.util.Arrays.stream(members)
                .map(id -> Member.of(id, 1, DATA_CENTRE, false))
                .toList());
    }

    private static TargetSettings target(TargetId id) {
        return new TargetSettings(id, POOL, "127.0.0.1", 1, DATA_CENTRE, 2, true);
    }

    private static RequestSpec spec(long id, boolean repeatable, int urgency, long prefixHash) {
        return new RequestSpec(id, CUSTOMER, POOL, urgency, repeatable, 10, 0, prefixHash, DEADLINE_MS);
    }

    private void arrive(long id, boolean repeatable) {
        entry.arrived(spec(id, repeatable, RequestSpec.DEFAULT_URGENCY, 0), nowMs, actions::add);
    }

    private void grant(TargetId target) {
        entry.granted(ARBITER, new PeerMessage.Grant(CELL, sequence++, CUSTOMER, target, 0), nowMs, actions::add);
    }

    private void end(long id, TargetOutcome outcome) {
        entry.attemptEnded(new Event.TargetEnded(id, outcome, Usage.of(10, 0, 100, 50)), nowMs, actions::add);
    }

    private void tick() {
        entry.tick(nowMs, actions::add);
    }

    private <T extends Action> long count(Class<T> type) {
        return actions.stream().filter(type::isInstance).count();
    }

    private List<PeerMessage> sent() {
        return actions.stream()
                .filter(Action.SendPeer.class::isInstance)
                .map(action -> ((Action.SendPeer) action).message())
                .toList();
    }

    private List<Action.Dispatch> dispatched() {
        return actions.stream()
                .filter(Action.Dispatch.class::isInstance)
                .map(Action.Dispatch.class::cast)
                .toList();
    }

    private Failure onlyFailure() {
        List<Failure> failures = actions.stream()
                .filter(Action.Fail.class::isInstance)
                .map(action -> ((Action.Fail) action).failure())
                .toList();
        assertEquals(1, failures.size(), failures::toString);
        return failures.get(0);
    }

    private PeerMessage.Decline onlyDecline() {
        List<PeerMessage.Decline> declines = actions.stream()
                .filter(Action.SendPeer.class::isInstance)
                .map(action -> ((Action.SendPeer) action).message())
                .filter(PeerMessage.Decline.class::isInstance)
                .map(PeerMessage.Decline.class::cast)
                .toList();
        assertEquals(1, declines.size(), declines::toString);
        return declines.get(0);
    }
}
