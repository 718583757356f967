package org.marjoramswitch.kernel.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Objects;
import org.junit.jupiter.api.Test;

class RouteDurationsTest {
    private static final long NOW_MS = 100_000;

    private final RouteDurations durations = RouteDurations.create();

    @Test
    void eachRouteHasItsOwnDurations() {
        durations.record("a", 300, 200, true, NOW_MS);
        durations.record("b", 30, 20, true, NOW_MS);
        RouteDurations.Durations a = Objects.requireNonNull(durations.of("a"));
        assertEquals(300, a.requests().longestMs(NOW_MS));
        assertEquals(200, a.runs().longestMs(NOW_MS));
        assertNull(durations.of("c"));
    }

    /** Guards against memory that grows with each route name that the settings ever had. */
    @Test
    void routesThatWereUsedLeastRecentlyAreForgotten() {
        durations.record("kept", 300, 200, true, NOW_MS);
        durations.record("forgotten", 300, 200, true, NOW_MS);
        for (int i = 0; i < RouteDurations.MAX_ROUTES - 2; i++) {
            durations.record("route-" + i, 300, 200, true, NOW_MS);
        }
        durations.record("kept", 400, 200, true, NOW_MS);
        assertNotNull(durations.of("forgotten"));
        durations.record("last", 300, 200, true, NOW_MS);
        assertNull(durations.of("forgotten"));
        RouteDurations.Durations kept = Objects.requireNonNull(durations.of("kept"));
        assertEquals(2, kept.runs().completeCount(NOW_MS));
    }
}
