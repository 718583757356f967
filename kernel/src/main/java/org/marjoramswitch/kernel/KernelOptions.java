package org.marjoramswitch.kernel;

import org.marjoramswitch.kernel.capacity.WindowedRetryBudget;
import org.marjoramswitch.kernel.placement.PlacementPolicy;

/**
 * Parameters of the routing decisions. They are options so that benchmarks can vary them; docs/MEASUREMENTS.md has the
 * results behind the defaults.
 *
 * @param registrationWindowMs how long a new arbiter collects registrations before its first grant
 * @param spillAfterMs how long a request waits at one cell before a second cell of the pool may also grant it; each
 *     doubling of the wait doubles the number of cells
 * @param offerLimit maximum requests of one customer that an entry offers to one cell at a time
 * @param progressStepTokens increase of a running request's cost after which it is reported again
 * @param chargesIntervalMs interval at which the arbiters of a pool's cells exchange their charges
 * @param admitAhead requests granted to a target beyond its slots, so that no slot stays empty during a grant's round
 *     trip
 * @param idleRegistrationMs how long an entry stays registered with a cell without having requests for it
 * @param maxWaiting maximum waiting requests per instance
 * @param resendLimits retry limits of the whole fleet
 * @param placement policy for the placement of requests
 */
public record KernelOptions(
        long registrationWindowMs,
        long spillAfterMs,
        int offerLimit,
        long progressStepTokens,
        long chargesIntervalMs,
        int admitAhead,
        long idleRegistrationMs,
        int maxWaiting,
        WindowedRetryBudget.Limits resendLimits,
        PlacementPolicy placement) {
    private static final long REGISTRATION_WINDOW_MS = 250;
    private static final long SPILL_AFTER_MS = 20;
    private static final int OFFER_LIMIT = 16;
    private static final long PROGRESS_STEP_TOKENS = 200;
    private static final long CHARGES_INTERVAL_MS = 250;
    private static final int ADMIT_AHEAD = 0;
    private static final long IDLE_REGISTRATION_MS = 60_000;
    private static final int MAX_WAITING = 2_000;

    public static KernelOptions defaults() {
        return new KernelOptions(
                REGISTRATION_WINDOW_MS,
                SPILL_AFTER_MS,
                OFFER_LIMIT,
                PROGRESS_STEP_TOKENS,
                CHARGES_INTERVAL_MS,
                ADMIT_AHEAD,
                IDLE_REGISTRATION_MS,
                MAX_WAITING,
                WindowedRetryBudget.Limits.DEFAULT,
                PlacementPolicy.full());
    }

    public KernelOptions withAdmitAhead(int requests) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                progressStepTokens,
                chargesIntervalMs,
                requests,
                idleRegistrationMs,
                maxWaiting,
                resendLimits,
                placement);
    }

    public KernelOptions withProgressStepTokens(long tokens) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                tokens,
                chargesIntervalMs,
                admitAhead,
                idleRegistrationMs,
                maxWaiting,
                resendLimits,
                placement);
    }

    public KernelOptions withSpillAfterMs(long waitMs) {
        return new KernelOptions(
                registrationWindowMs,
                waitMs,
                offerLimit,
                progressStepTokens,
                chargesIntervalMs,
                admitAhead,
                idleRegistrationMs,
                maxWaiting,
                resendLimits,
                placement);
    }

    public KernelOptions withChargesIntervalMs(long intervalMs) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                progressStepTokens,
                intervalMs,
                admitAhead,
                idleRegistrationMs,
                maxWaiting,
                resendLimits,
                placement);
    }

    public KernelOptions withMaxWaiting(int requests) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                progressStepTokens,
                chargesIntervalMs,
                admitAhead,
                idleRegistrationMs,
                requests,
                resendLimits,
                placement);
    }

    public KernelOptions withResendLimits(WindowedRetryBudget.Limits limits) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                progressStepTokens,
                chargesIntervalMs,
                admitAhead,
                idleRegistrationMs,
                maxWaiting,
                limits,
                placement);
    }

    public KernelOptions withPlacement(PlacementPolicy policy) {
        return new KernelOptions(
                registrationWindowMs,
                spillAfterMs,
                offerLimit,
                progressStepTokens,
                chargesIntervalMs,
                admitAhead,
                idleRegistrationMs,
                maxWaiting,
                resendLimits,
                policy);
    }
}
