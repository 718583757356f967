package org.marjoramswitch.kernel.placement;

import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.TargetId;

/** Builds the log records of an arbiter's decisions, each with the values it is based on. */
final class PlacementLog {
    /** Reason for rejecting a request whose objective cannot be met. */
    static final String LATE = "late";
    /** Reason for rejecting a request because the arbiter lags. */
    static final String ARBITER_LAG = "arbiter_lag";

    private PlacementLog() {}

    /**
     * Logs that a request goes to a target.
     *
     * @param tokensAhead prompt tokens that the target prefills before the request's first byte, including its own
     * @param slowness time that the target takes for its work relative to the pool
     */
    static Action placed(
            CellId cell,
            WaitingRequest request,
            TargetChoice.Chosen chosen,
            String reason,
            double tokensAhead,
            double slowness,
            FirstByteModel model,
            WaitingQueues waiting,
            long nowMs) {
        TargetLoad target = chosen.target();
        return new Action.Decided(Decision.of(
                "place",
                "cell",
                cell,
                "entry",
                request.entry(),
                "ask",
                request.placementId(),
                "customer",
                request.customer(),
                "target",
                target.settings().id(),
                "reason",
                reason,
                "waitedMs",
                nowMs - request.arrivedAtMs(),
                "objectiveLeftMs",
                request.objectiveAtMs() - nowMs,
                "size",
                request.size(),
                "promptTokens",
                request.promptTokens(),
                "uncachedTokens",
                chosen.uncachedTokens(),
                "fetchedTokens",
                chosen.fetchedTokens(),
                "fetchFrom",
                chosen.fetchFrom() == null ? "-" : chosen.fetchFrom(),
                "tokensAhead",
                Math.round(tokensAhead),
                "expectedMs",
                Math.round(slowness * model.expectedMs(tokensAhead)),
                "slowness",
                rounded(slowness),
                "targetInFlight",
                target.inFlight(),
                "targetMemoryTokens",
                target.memoryUsedTokens(),
                "waitingInTime",
                waiting.inTimeCount()));
    }

    /**
     * Logs that engine memory has become or ceased to be scarce at any target of a cell.
     *
     * @param meanTokens mean memory of a request
     */
    static Action engineMemory(CellId cell, boolean scarce, long meanTokens, int targets) {
        return new Action.Decided(Decision.of(
                "engine_memory", "cell", cell, "scarce", scarce, "meanTokens", meanTokens, "targets", targets));
    }

    /**
     * Logs that a target has become slower or faster than its pool.
     *
     * @param basis the observed times: {@code first_byte} or {@code service}
     */
    static Action speedChanged(CellId cell, TargetId target, String basis, TargetSpeed speed, long nowMs) {
        return new Action.Decided(Decision.of(
                "target_speed",
                "cell",
                cell,
                "target",
                target,
                "basis",
                basis,
                "slowness",
                rounded(speed.slowness(nowMs)),
                "observations",
                Math.round(speed.observations(nowMs))));
    }

    /**
     * Logs what became of a customer's requests, and what the arbiter takes its recent service to be.
     *
     * @param leadTokens how far its counter is above the floor
     */
    static Action demand(
            CellId cell, DemandReport.CustomerDemand demand, FairShareEstimate.Standing standing, double leadTokens) {
        return new Action.Decided(Decision.of(
                "customer_demand",
                "cell",
                cell,
                "customer",
                demand.customer(),
                "asked",
                demand.asked(),
                "askedTokens",
                demand.askedTokens(),
                "rejectedAtEntriesTokens",
                demand.rejectedAtEntriesTokens(),
                "started",
                demand.started(),
                "startedTokens",
                demand.startedTokens(),
                "lateTokens",
                demand.lateTokens(),
                "lagTokens",
                demand.lagTokens(),
                "otherRejectedTokens",
                demand.otherRejectedTokens(),
                "withdrawnTokens",
                demand.withdrawnTokens(),
                "recentAskedTokens",
                Math.round(standing.askedTokens()),
                "recentChargedTokens",
                Math.round(standing.chargedTokens()),
                "recentLargestTokens",
                Math.round(standing.largestTokens()),
                "recentBestTokens",
                Math.round(standing.bestTokens()),
                "leadTokens",
                Math.round(leadTokens),
                "underserved",
                standing.underserved()));
    }

    /** Logs that a customer is served much less than it asks for and than another one. */
    static Action underserved(CellId cell, FairShareEstimate.Underserved customer, double evenShareTokens) {
        return new Action.Decided(Decision.of(
                "customer_underserved",
                "cell",
                cell,
                "customer",
                customer.customer(),
                "askedTokens",
                Math.round(customer.askedTokens()),
                "chargedTokens",
                Math.round(customer.chargedTokens()),
                "evenShareTokens",
                Math.round(evenShareTokens)));
    }

    private static double rounded(double factor) {
        return Math.round(100 * factor) / 100.0;
    }

    /** Logs that a request is rejected. */
    static Action notPlaced(
            CellId cell, WaitingRequest request, String reason, WaitingQueues waiting, int targets, long nowMs) {
        return new Action.Decided(Decision.of(
                "not_placed",
                "cell",
                cell,
                "entry",
                request.entry(),
                "ask",
                request.placementId(),
                "customer",
                request.customer(),
                "reason",
                reason,
                "waitedMs",
                nowMs - request.arrivedAtMs(),
                "objectiveLeftMs",
                request.objectiveAtMs() - nowMs,
                "size",
                request.size(),
                "promptTokens",
                request.promptTokens(),
                "waitingInTime",
                waiting.inTimeCount(),
                "waitingLate",
                waiting.lateCount(),
                "targets",
                targets));
    }
}
