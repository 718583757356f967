package org.marjoramswitch.daemon.route;

import java.util.List;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * One route of the operators' settings.
 *
 * @param host the host name that callers send, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param shares the pools that serve it, each with its part of the requests
 * @param attempts the most targets that one request may be sent to
 * @param timeoutMs the longest that a caller is kept waiting
 * @param objectiveMs until the answer, or its first event, for its full value
 * @param pauseMs the longest pause between events for an answer in time, 0 where it has no events
 * @param priority 0 is the most urgent
 * @param open whether callers need no key
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
    /** A pool and its part of a route's requests. */
    public record PoolShare(PoolId pool, int weight) {}

    /** The pool for a request; {@code draw} is spread evenly over all longs, the same for one request each time. */
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
