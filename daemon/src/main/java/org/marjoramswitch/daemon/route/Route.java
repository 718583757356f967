package org.marjoramswitch.daemon.route;

import java.util.List;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * A route in the operators' settings.
 *
 * @param host the host name that callers send, in lower case
 * @param pathPrefix starts and ends with a slash
 * @param shares the pools that serve the route, each with its weight
 * @param attempts the maximum number of attempts per request
 * @param timeoutMs the caller's timeout if the request specifies none
 * @param objectiveMs the latency objective: the maximum time to a response, or to its first event, that is on time
 * @param pauseMs the maximum pause between the events of a response that is on time; 0 if it has no events
 * @param priority 0 is the most urgent
 * @param open whether callers need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<PoolShare> shares,
        int attempts,
        long timeoutMs,
        long objectiveMs,
        long pauseMs,
        int priority,
        boolean open) {
    private static final long MIN_PROGRESS_TIMEOUT_MS = 2_000;
    private static final int PROGRESS_TIMEOUT_OBJECTIVES = 4;
    private static final int PROGRESS_TIMEOUT_PAUSES = 8;

    /** A pool and its weight among the pools of a route. */
    public record PoolShare(PoolId pool, int weight) {}

    /**
     * How long the callers of a stream wait for its first event and between two events; 0 for other routes, whose callers
     * wait until their deadline.
     */
    public long callerProgressTimeoutMs() {
        return kind.isStreaming() ? progressTimeoutMs() : 0;
    }

    /** The longest of two seconds, four latency objectives and eight pauses. */
    public long progressTimeoutMs() {
        long objectivesMs = PROGRESS_TIMEOUT_OBJECTIVES * objectiveMs;
        return Math.max(MIN_PROGRESS_TIMEOUT_MS, Math.max(objectivesMs, PROGRESS_TIMEOUT_PAUSES * pauseMs));
    }

    /**
     * Selects the pool for a request by weight.
     *
     * @param draw a value that is uniformly distributed over all longs and constant for a given request
     */
    public PoolId pool(long draw) {
        int total = shares.stream().mapToInt(PoolShare::weight).sum();
        if (total <= 0) {
            return shares.get(0).pool();
        }
        long left = Math.floorMod(draw, (long) total);
        for (PoolShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.pool();
            }
        }
        return shares.get(shares.size() - 1).pool();
    }
}
