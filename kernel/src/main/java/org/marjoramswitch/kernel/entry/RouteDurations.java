package org.marjoramswitch.kernel.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Recent durations of one pool's requests by route, since routes of one pool may take milliseconds or minutes. Bounded:
 * beyond {@value #MAX_ROUTES} routes those that were used least recently are forgotten and thus unknown.
 */
final class RouteDurations {
    static final int MAX_ROUTES = 256;

    private final Map<String, Durations> byRoute = new LinkedHashMap<>();

    private RouteDurations() {}

    static RouteDurations create() {
        return new RouteDurations();
    }

    /**
     * The durations of one route.
     *
     * @param requests from arrival to end
     * @param runs from the last send to the end
     */
    record Durations(RecentDurations requests, RecentDurations runs) {
        private static Durations create() {
            return new Durations(RecentDurations.create(), RecentDurations.create());
        }
    }

    /** Records a request of the route; lower bounds if its response was not complete. */
    void record(String route, long requestMs, long runMs, boolean complete, long nowMs) {
        Durations known = byRoute.remove(route);
        Durations durations = known == null ? Durations.create() : known;
        durations.requests().record(requestMs, complete, nowMs);
        durations.runs().record(runMs, complete, nowMs);
        byRoute.put(route, durations);
        if (byRoute.size() > MAX_ROUTES) {
            Iterator<String> leastRecent = byRoute.keySet().iterator();
            leastRecent.next();
            leastRecent.remove();
        }
    }

    /** The durations of the route; null if none was recorded. */
    @Nullable
    Durations of(String route) {
        return byRoute.get(route);
    }
}
