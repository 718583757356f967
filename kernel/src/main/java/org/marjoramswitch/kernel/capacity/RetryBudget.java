package org.marjoramswitch.kernel.capacity;

/**
 * Limits a pool's retries to a share of its successes, so that retries do not multiply the load of a failing pool.
 * Starts with {@value #INITIAL_RETRIES} retries and accumulates at most {@value #MAX_RETRIES}.
 */
public final class RetryBudget {
    private static final double INITIAL_RETRIES = 10;
    private static final double MAX_RETRIES = 50;

    private double retries = INITIAL_RETRIES;

    private RetryBudget() {}

    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** @param share retries allowed per success */
    public void succeeded(double share) {
        retries = Math.min(MAX_RETRIES, retries + share);
    }

    /** Takes one retry from the budget; false if none is left. */
    public boolean take() {
        if (retries < 1) {
            return false;
        }
        retries--;
        return true;
    }
}
