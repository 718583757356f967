package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;

/**
 * Decides during a graceful shutdown whether a request can end before the drain does, which ends all requests
 * that are still open. A request that cannot is rejected as not run, so that its caller goes to another instance.
 *
 * <p>A request ends in time if its deadline falls before the end of the drain, or if the longest recent request of its
 * pool, with some headroom, would. Requests that were broken off or are still running count with their duration so far,
 * but do not show how long runs take. A pool without complete ones is unknown, and only the deadline counts.
 *
 * <p>For example, with 4 s left and a deadline in 7 s, a request is accepted if the longest recent one of its pool took
 * 2.5 s, and rejected if it took 3.5 s.
 *
 * <p>Applies to placed requests only: the deadline of others does not bound their run.
 */
final class StopPolicy {
    /** The next request may take longer than any recent one. */
    private static final double HEADROOM = 1.25;
    /** From the end of a run until its response has been written to the caller. */
    private static final long DELIVERY_MS = 150;

    private static final long NOT_STOPPING = Long.MAX_VALUE;

    private final Function<PoolId, PoolQueues> pools;
    private final Collection<EntryRequest> open;
    private long drainEndsAtMs = NOT_STOPPING;

    private StopPolicy(Function<PoolId, PoolQueues> pools, Collection<EntryRequest> open) {
        this.pools = pools;
        this.open = open;
    }

    /** @param open the requests that have not ended, updated by the owner */
    static StopPolicy of(Function<PoolId, PoolQueues> pools, Collection<EntryRequest> open) {
        return new StopPolicy(pools, open);
    }

    /** Starts the stop. */
    void stop(long endsAtMs) {
        drainEndsAtMs = endsAtMs;
    }

    boolean isStopping() {
        return drainEndsAtMs != NOT_STOPPING;
    }

    /** Records how long a request took that a target has run; a lower bound if its response was not complete. */
    void ended(EntryRequest request, boolean complete, long nowMs) {
        PoolQueues pool = pools.apply(request.spec().pool());
        pool.requestTimes().record(nowMs - request.arrivedAtMs(), complete, nowMs);
        pool.runTimes().record(nowMs - request.sentAtMs(), complete, nowMs);
    }

    /** Whether a request that arrives now can end in time, including its wait. */
    boolean mayAccept(RequestSpec spec, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestMs = pools.apply(spec.pool()).requestTimes().longestMs(nowMs);
        if (longestMs == RecentDurations.NONE) {
            return false;
        }
        for (EntryRequest request : open) {
            if (request.spec().pool().equals(spec.pool())) {
                longestMs = Math.max(longestMs, nowMs - request.arrivedAtMs());
            }
        }
        return fits(longestMs, nowMs);
    }

    /** Whether a request that is sent to a target now can end in time. */
    boolean maySend(RequestSpec spec, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestRunMs = 0;
        for (EntryRequest request : open) {
            if (request.target() != null && request.spec().pool().equals(spec.pool())) {
                longestRunMs = Math.max(longestRunMs, nowMs - request.sentAtMs());
            }
        }
        return maySend(spec, longestRunMs, nowMs);
    }

    private boolean maySend(RequestSpec spec, long longestRunMs, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestMs = pools.apply(spec.pool()).runTimes().longestMs(nowMs);
        return longestMs != RecentDurations.NONE && fits(Math.max(longestMs, longestRunMs), nowMs);
    }

    /** Returns the waiting requests that cannot end in time if they are sent now. */
    List<EntryRequest> unfinishable(long nowMs) {
        if (!isStopping()) {
            return List.of();
        }
        // All waiting requests are checked in each tick, so the running ones are not gone through for each of them.
        Map<PoolId, Long> longestRunMs = new HashMap<>();
        for (EntryRequest request : open) {
            if (request.target() != null) {
                longestRunMs.merge(request.spec().pool(), nowMs - request.sentAtMs(), Math::max);
            }
        }
        return open.stream()
                .filter(request -> request.target() == null)
                .filter(request -> !maySend(
                        request.spec(), longestRunMs.getOrDefault(request.spec().pool(), 0L), nowMs))
                .toList();
    }

    private boolean endsInTime(RequestSpec spec, long nowMs) {
        return !isStopping()
                || spec.placement() == null
                || Math.max(nowMs, spec.deadlineMs()) + DELIVERY_MS <= drainEndsAtMs;
    }

    private boolean fits(long longestMs, long nowMs) {
        return nowMs + Math.round(HEADROOM * longestMs) + DELIVERY_MS <= drainEndsAtMs;
    }
}
