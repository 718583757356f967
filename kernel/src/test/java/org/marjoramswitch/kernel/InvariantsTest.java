package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests the invariants under random sequences of arrivals, deliveries, ends, faults, cut links, restarts, wrong views
 * and draining targets. {@link RandomFleet} checks at every step: at most one attempt of a request at a time, at most
 * one execution of a non-repeatable request, no "not run" for a request that may have run, exactly one end per request,
 * and no dispatch to a draining target.
 */
class InvariantsTest {
    private static final int STEPS = 3_000;

    @Property(tries = 60, seed = "20261202")
    void everyRequestEndsOnceWithACorrectRunState(
            @ForAll int seed,
            @ForAll @IntRange(min = 1, max = 5) int instances,
            @ForAll @IntRange(min = 1, max = 4) int cellTargets) {
        RandomFleet fleet = new RandomFleet(seed, instances, 4, cellTargets);
        for (int step = 0; step < STEPS; step++) {
            fleet.step();
        }

        fleet.runToCompletion();

        assertEquals(0, fleet.openRequests(), () -> "requests without an end: " + fleet);
        assertTrue(fleet.completed() > 0, "nothing was served");
    }
}
