package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.marjoramswitch.kernel.entry.RouteDurations.Durations;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;

/**
 * Decides during a graceful shutdown whether a request can end before the drain does, which ends all requests
 * that are still open. A request that cannot is rejected as not run, so that its caller goes to another instance.
 *
 * <p>A request ends in time if its deadline falls before the end of the drain, or if the longest recent request of its
 * kind, with some headroom, would. A kind is a route and a pool: a route's short requests show nothing about another
 * route. Requests that were broken off or are still running count with their duration so far, but do not show how long
 * runs take. With few complete runs the longest one counts more, and without any only the deadline counts.
 *
 * <p>For example, with 4 s left and a deadline in 7 s, a request is accepted if the longest recent one of its kind took
 * 2.5 s, and rejected if it took 3.5 s.
 *
 * <p>A response of which the caller has received a part is continued in any case: rejecting its request is no longer possible,
 * and if the drain ends first, the caller has received more of it.
 *
 * <p>Applies to placed requests only: the deadline of others does not bound their run.
 */
final class StopPolicy {
    /** The next request may take longer than any recent one. */
    private static final double HEADROOM = 1.25;
    /**
     * Complete runs from which on the longest one counts as it is. The next run exceeds the longest of {@code n} independent
     * ones with a probability of {@code 1 / (n + 1)}, thus one in eleven even without headroom. With fewer runs the longest one
     * counts in proportion: it says little about long runs, but a few milliseconds leave time for any error.
     */
    private static final int ENOUGH_RUNS = 10;
    /**
     * The same for requests that may run once, one in twenty-one: if one of them is cut, its caller cannot learn whether it
     * ran, whereas a rejected one runs at another instance.
     */
    private static final int ENOUGH_RUNS_ONCE = 20;
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
        Kind kind = Kind.of(request.spec());
        pools.apply(kind.pool())
                .durations()
                .record(kind.route(), nowMs - request.arrivedAtMs(), nowMs - request.sentAtMs(), complete, nowMs);
    }

    /** Whether a request that arrives now can end in time, including its wait. */
    boolean mayAccept(RequestSpec spec, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestMs = longestMs(spec, Durations::requests, nowMs);
        if (longestMs == RecentDurations.NONE) {
            return false;
        }
        Kind kind = Kind.of(spec);
        for (EntryRequest request : open) {
            if (kind.includes(request.spec())) {
                longestMs = Math.max(longestMs, nowMs - request.arrivedAtMs());
            }
        }
        return fits(longestMs, nowMs);
    }

    /** Whether a request may be sent to a target now. */
    boolean maySend(EntryRequest request, long nowMs) {
        return mayContinue(request, nowMs) || maySend(request.spec(), nowMs);
    }

    /**
     * Whether a request waits to continue a response of which its caller has received a part. Its caller gains nothing if that is
     * broken off before the end of the drain, so it may be sent unless nothing would reach the caller any more.
     */
    private boolean mayContinue(EntryRequest request, long nowMs) {
        return request.target() == null && request.isPartDelivered() && fits(0, nowMs);
    }

    /** Whether a request that is sent to a target now can end in time. */
    boolean maySend(RequestSpec spec, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestRunMs = 0;
        Kind kind = Kind.of(spec);
        for (EntryRequest request : open) {
            if (request.target() != null && kind.includes(request.spec())) {
                longestRunMs = Math.max(longestRunMs, nowMs - request.sentAtMs());
            }
        }
        return maySend(spec, longestRunMs, nowMs);
    }

    private boolean maySend(RequestSpec spec, long longestRunMs, long nowMs) {
        if (endsInTime(spec, nowMs)) {
            return true;
        }
        long longestMs = longestMs(spec, Durations::runs, nowMs);
        return longestMs != RecentDurations.NONE && fits(Math.max(longestMs, longestRunMs), nowMs);
    }

    /** Returns the waiting requests that cannot end in time if they are sent now. */
    List<EntryRequest> unfinishable(long nowMs) {
        if (!isStopping()) {
            return List.of();
        }
        // All waiting requests are checked in each tick, so the running ones are not gone through for each of them.
        Map<Kind, Long> longestRunMs = new HashMap<>();
        for (EntryRequest request : open) {
            if (request.target() != null) {
                longestRunMs.merge(Kind.of(request.spec()), nowMs - request.sentAtMs(), Math::max);
            }
        }
        return open.stream()
                .filter(request -> request.target() == null)
                .filter(request -> !mayContinue(request, nowMs))
                .filter(request ->
                        !maySend(request.spec(), longestRunMs.getOrDefault(Kind.of(request.spec()), 0L), nowMs))
                .toList();
    }

    /**
     * The longest recent duration of the request's kind, more if only a few runs have completed, or {@link
     * RecentDurations#NONE} if none has.
     */
    private long longestMs(RequestSpec spec, Function<Durations, RecentDurations> type, long nowMs) {
        Kind kind = Kind.of(spec);
        Durations durations = pools.apply(kind.pool()).durations().of(kind.route());
        if (durations == null) {
            return RecentDurations.NONE;
        }
        RecentDurations recent = type.apply(durations);
        int complete = recent.completeCount(nowMs);
        if (complete == 0) {
            return RecentDurations.NONE;
        }
        int enough = spec.repeatable() ? ENOUGH_RUNS : ENOUGH_RUNS_ONCE;
        return recent.longestMs(nowMs) * Math.max(enough, complete) / complete;
    }

    private boolean endsInTime(RequestSpec spec, long nowMs) {
        return !isStopping()
                || spec.placement() == null
                || Math.max(nowMs, spec.deadlineMs()) + DELIVERY_MS <= drainEndsAtMs;
    }

    private boolean fits(long longestMs, long nowMs) {
        return nowMs + Math.round(HEADROOM * longestMs) + DELIVERY_MS <= drainEndsAtMs;
    }

    /** Requests whose runs are expected to be of similar length. */
    private record Kind(PoolId pool, String route) {
        static Kind of(RequestSpec spec) {
            return new Kind(spec.pool(), routeOf(spec));
        }

        boolean includes(RequestSpec spec) {
            return pool.equals(spec.pool()) && route.equals(routeOf(spec));
        }

        private static String routeOf(RequestSpec spec) {
            String route = spec.route();
            return route == null ? "" : route;
        }
    }
}
