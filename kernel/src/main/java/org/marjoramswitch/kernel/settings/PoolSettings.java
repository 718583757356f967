package org.marjoramswitch.kernel.settings;

import org.marjoramswitch.kernel.model.PoolId;

/**
 * Settings of a pool.
 *
 * @param cellTargets maximum number of targets in a cell
 * @param promptTokenCost weighted tokens charged per uncached prompt token
 * @param outputTokenCost weighted tokens charged per output token
 * @param initialEstimateTokens expected cost of a request of a customer without history
 * @param repeatableByDefault whether a request may be executed again if it does not specify that
 * @param waitTimeoutMs how long a request may wait for a grant
 * @param progressTimeoutMs how long a target may make no progress on a request before the attempt ends
 * @param retryShare allowed retries as a share of successful requests
 * @param coldStart limits of targets that have just started
 */
public record PoolSettings(
        PoolId id,
        TargetKind kind,
        int cellTargets,
        double promptTokenCost,
        double outputTokenCost,
        long initialEstimateTokens,
        boolean repeatableByDefault,
        long waitTimeoutMs,
        long progressTimeoutMs,
        double retryShare,
        ColdStartLimits coldStart) {
    public static final int DEFAULT_CELL_TARGETS = 4;
    public static final long DEFAULT_INITIAL_ESTIMATE_TOKENS = 200;
    public static final long DEFAULT_WAIT_TIMEOUT_MS = 30_000;
    public static final long DEFAULT_PROGRESS_TIMEOUT_MS = 10_000;
    public static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final double DEFAULT_PROMPT_TOKEN_COST = 0.1;

    /** Returns default settings of a pool of model engines. */
    public static PoolSettings modelEngines(PoolId id) {
        return new PoolSettings(
                id,
                TargetKind.MODEL_ENGINE,
                DEFAULT_CELL_TARGETS,
                DEFAULT_PROMPT_TOKEN_COST,
                1.0,
                DEFAULT_INITIAL_ESTIMATE_TOKENS,
                true,
                DEFAULT_WAIT_TIMEOUT_MS,
                DEFAULT_PROGRESS_TIMEOUT_MS,
                DEFAULT_RETRY_SHARE,
                ColdStartLimits.NONE);
    }

    /** Returns default settings of a pool of plain services, whose calls are repeatable only if the caller says so. */
    public static PoolSettings plainServices(PoolId id) {
        return new PoolSettings(
                id,
                TargetKind.PLAIN_SERVICE,
                DEFAULT_CELL_TARGETS,
                0,
                0,
                DEFAULT_INITIAL_ESTIMATE_TOKENS,
                false,
                DEFAULT_WAIT_TIMEOUT_MS,
                DEFAULT_PROGRESS_TIMEOUT_MS,
                DEFAULT_RETRY_SHARE,
                ColdStartLimits.NONE);
    }

    public PoolSettings withCellTargets(int targets) {
        return new PoolSettings(
                id,
                kind,
                targets,
                promptTokenCost,
                outputTokenCost,
                initialEstimateTokens,
                repeatableByDefault,
                waitTimeoutMs,
                progressTimeoutMs,
                retryShare,
                coldStart);
    }

    public PoolSettings withColdStart(ColdStartLimits limits) {
        return new PoolSettings(
                id,
                kind,
                cellTargets,
                promptTokenCost,
                outputTokenCost,
                initialEstimateTokens,
                repeatableByDefault,
                waitTimeoutMs,
                progressTimeoutMs,
                retryShare,
                limits);
    }
}
