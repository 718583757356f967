package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.placement.PlacementSimulation.Kind;
import org.marjoramswitch.kernel.settings.EngineMemory;

/**
 * Who is served when more is asked than the engines can do. The pool is the larger site's: eight engines of 48 slots
 * that read 157 tokens a millisecond, three kinds of requests by 16 customers, the largest of whom sends a third of all.
 * It can do about 290 requests a second; the bounds are what two seeds gave, less a tenth of what is missing to one.
 */
class PlacementLoadTest {
    private static final SimulatedEngine.Speed ENGINE =
            new SimulatedEngine.Speed(48, 3.55, 0.0462, 157, EngineMemory.of(986_267));
    private static final int ENGINES = 8;
    private static final SimulatedEngine.Speed LARGE_ENGINE =
            new SimulatedEngine.Speed(16, 3.55, 0.0462, 157, EngineMemory.fetching(636_749, 0.0004));
    private static final int LARGE_ENGINES = 37;
    /** A tenth of them ask for eleven times as much as the others. */
    private static final int LARGE_CUSTOMERS = 60;

    private static final int CUSTOMERS = 16;
    private static final double LARGEST_SHARE = 0.35;
    private static final double UNTIL_MS = 20_000;
    /** For what was asked last to end. */
    private static final double END_MS = 25_000;

    @Test
    void everythingIsServedInTimeWhileThereIsRoom() {
        PlacementSimulation simulation = loaded(220, 1);
        assertTrue(simulation.worth() > 0.995, simulation::toString);
        assertTrue(simulation.rereadTokens() < 100_000, simulation::toString);
    }

    /** Steady overload by a seventh: sessions stay where they were read, and no kind pays for the others. */
    @Test
    void anOverloadCostsNoMoreThanItsExcess() {
        PlacementSimulation simulation = loaded(330, 1);
        assertTrue(simulation.worth() > 0.80, simulation::toString);
        assertTrue(simulation.rereadTokens() < 700_000, simulation::toString);
        for (Kind kind : Kind.values()) {
            assertTrue(simulation.of(kind).inTimeShare() > 0.70, simulation::toString);
        }
    }

    /** Twice what the pool can do: what is served in time stays what the pool can do, and light customers lose nothing. */
    @Test
    void twiceTheLoadIsTakenFromTheLargestCustomers() {
        PlacementSimulation simulation = loaded(600, 2);
        assertTrue(simulation.worth() > 0.42, simulation::toString);
        assertTrue(simulation.rereadTokens() < 1_000_000, simulation::toString);
        for (int i = 6; i < CUSTOMERS; i++) {
            assertTrue(simulation.of(customer(i)).inTimeShare() > 0.75, simulation::toString);
        }
        assertTrue(simulation.of(customer(0)).inTimeShare() < 0.4, simulation::toString);
    }

    /**
     * A customer that asks for 4 in 100 of what all ask for, less than an even share, has its requests in time though the
     * pool is asked for 1.8 times what it can do. Its requests come in clumps by chance, and each had to wait until all
     * others were given as much as the one before it: 0.90 were in time.
     */
    @Test
    void aCustomerBelowItsShareIsNotHeldUpByItsOwnClumps() {
        PlacementSimulation simulation = asked(400, PlacementSimulation.Sizes.UNEVEN, 5);
        simulation.run(END_MS);
        assertTrue(simulation.of(customer(4)).inTimeShare() > 0.96, simulation::toString);
    }

    /** One customer sends ten times its usual: it alone is refused. */
    @Test
    void aFloodIsRefusedToItsCustomerAlone() {
        CustomerId flooding = CustomerId.of("flooding");
        PlacementSimulation simulation = asked(200, 3);
        simulation.load(flooding, 250, 5_000, 15_000);
        simulation.run(END_MS);
        for (int i = 0; i < CUSTOMERS; i++) {
            assertTrue(simulation.of(customer(i)).inTimeShare() > 0.9, simulation::toString);
        }
        assertTrue(simulation.of(flooding).refused > 0);
    }

    /**
     * The callers with the largest prompts are served as others are, though late. More is asked for than the pool can
     * do, with sizes as uneven as callers' are: the largest reports need most of their objective for the reading alone.
     * They had no time to wait in and were refused on arrival, at every try, as long as no engine was idle: 0.33, 0.27
     * and 0.16 of them were served at these loads, of all reports 0.81, 0.68 and 0.52.
     */
    @ParameterizedTest
    @CsvSource({"300, 0.68", "400, 0.50", "600, 0.33"})
    void theLargestAreServedUnderOverloadToo(double perSecond, double leastWorth) {
        PlacementSimulation simulation = asked(perSecond, PlacementSimulation.Sizes.UNEVEN, 5);
        simulation.run(END_MS);
        double all = simulation.of(Kind.REPORT).servedShare();
        double largest = simulation.ofLargest(Kind.REPORT).servedShare();
        assertTrue(largest > 0.5 * all, simulation::toString);
        assertTrue(simulation.worthBySize() > leastWorth, simulation::toString);
    }

    /**
     * A session's prompt stays where it was read while its requests are in time there: what is read again is taken from
     * all others. The load is what the pool can do, with sizes as uneven as callers' are, so that long prompts keep an
     * engine for a fifth of a second and more at a time. 671 thousand tokens were read again before the wait for the engine that keeps a
     * prompt was preferred.
     */
    @Test
    void sessionsWaitForTheEngineThatKeepsThem() {
        PlacementSimulation simulation = asked(220, PlacementSimulation.Sizes.UNEVEN, 6);
        simulation.run(END_MS);
        assertTrue(simulation.rereadTokens() < 360_000, simulation::toString);
        assertTrue(simulation.worthBySize() > 0.92, simulation::toString);
    }

    /**
     * Hardly a prompt part is read twice in the fleet where engines fetch kept parts from one another. The loads are what the
     * pool can do and 1.8 times that; waiting for the engine that keeps a prompt left 293 and 509 thousand tokens to be read
     * again, and fetching 119 and 195 thousand, at 0.006 and 0.013 more worth. A token takes 0.4 microseconds to fetch and
     * 6.4 to read.
     */
    @ParameterizedTest
    @CsvSource({"220, 6", "400, 5"})
    void aPromptPartIsReadOnceWhereEnginesFetch(double perSecond, long seed) {
        PlacementSimulation reading = asked(perSecond, PlacementSimulation.Sizes.UNEVEN, seed);
        reading.run(END_MS);
        PlacementSimulation fetching =
                asked(ENGINE.fetching(0.0004), perSecond, PlacementSimulation.Sizes.UNEVEN, seed);
        fetching.run(END_MS);

        assertEquals(0, reading.fetchedTokens(), reading::toString);
        assertTrue(fetching.rereadTokens() < 0.5 * reading.rereadTokens(), fetching::toString);
        assertTrue(fetching.worthBySize() > reading.worthBySize(), fetching::toString);
    }

    /**
     * What waits does not multiply the arbiter's work. The pool is a large fleet's, 37 engines of 16 slots, asked by 60
     * customers for what its slots carry and for twice that. With all that waits gone through after each event and each start,
     * the arbiter looked for a target 168 and 323 times for each request, at a worth of 0.852 and 0.465; now it is 2.6 and
     * 2.5 times, at 0.852 and 0.461.
     */
    @ParameterizedTest
    @CsvSource({"700, 0.83", "1400, 0.44"})
    void whatWaitsIsGoneThroughABoundedNumberOfTimes(double perSecond, double leastWorth) {
        PlacementSimulation simulation =
                new PlacementSimulation(LARGE_ENGINES, LARGE_ENGINE, PlacementSimulation.Sizes.UNEVEN, 5);
        for (int i = 0; i < LARGE_CUSTOMERS; i++) {
            double share = i < LARGE_CUSTOMERS / 10 ? 5.5 : 0.5;
            simulation.load(customer(i), share * perSecond / LARGE_CUSTOMERS, 0, UNTIL_MS / 2);
        }
        simulation.run(END_MS / 2);
        assertTrue(simulation.choices() < 5L * simulation.asked(), simulation.choices() + " choices, " + simulation);
        assertTrue(simulation.worthBySize() > leastWorth, simulation::toString);
    }

    /** No engine idles beside a request that waits, and none is refused while there is room. */
    @Test
    void nothingIsRefusedWhileThereIsRoom() {
        PlacementSimulation simulation = loaded(220, 4);
        for (Kind kind : Kind.values()) {
            assertEquals(0, simulation.of(kind).refused, simulation::toString);
        }
    }

    private static PlacementSimulation loaded(double perSecond, long seed) {
        PlacementSimulation simulation = asked(perSecond, seed);
        simulation.run(END_MS);
        return simulation;
    }

    private static PlacementSimulation asked(double perSecond, long seed) {
        return asked(perSecond, PlacementSimulation.Sizes.MODERATE, seed);
    }

    private static PlacementSimulation asked(double perSecond, PlacementSimulation.Sizes sizes, long seed) {
        return asked(ENGINE, perSecond, sizes, seed);
    }

    private static PlacementSimulation asked(
            SimulatedEngine.Speed speed, double perSecond, PlacementSimulation.Sizes sizes, long seed) {
        PlacementSimulation simulation = new PlacementSimulation(ENGINES, speed, sizes, seed);
        double left = perSecond;
        for (int i = 0; i < CUSTOMERS; i++) {
            double rate = i < CUSTOMERS - 1 ? left * LARGEST_SHARE : left;
            left -= rate;
            simulation.load(customer(i), rate, 0, UNTIL_MS);
        }
        return simulation;
    }

    private static CustomerId customer(int number) {
        return CustomerId.of("c" + number);
    }
}
