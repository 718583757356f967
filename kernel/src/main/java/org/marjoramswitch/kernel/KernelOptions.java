package org.marjoramswitch.kernel;

import org.marjoramswitch.kernel.capacity.WindowedRetryBudget;
import org.marjoramswitch.kernel.placement.PlacementPolicy;

/**
 * The constants of the decisions. They are options so that the bench can vary them; the defaults are the ones that
 * docs/MEASUREMENTS.md supports.
 *
 * @param registrationWindowMs how long a new arbiter collects registrations before its first grant
 * @param spillAfterMs how long a request waits at one cell before a second one of the pool may grant it too; each time
 *     the wait doubles, so do the cells
 * @param offerLimit the most requests of one customer that an entry offers to one cell at a time
 * @param progressStepTokens a running request's cost is reported each time it grew by this much
 * @param chargesIntervalMs how often arbiters of a pool's cells tell one another what they charged
 * @param admitAhead requests given to a target beyond its slots, so that a grant's round trip leaves none empty
 * @param idleRegistrationMs how long an entry stays registered with a cell it has no requests for
 * @param maxWaiting the most requests that may wait at one instance
 * @param resendLimits what the whole fleet may send to a second target
 * @param placement how requests are placed
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
