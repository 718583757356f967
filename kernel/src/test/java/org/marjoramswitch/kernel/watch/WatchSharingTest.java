package org.marjoramswitch.kernel.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.model.InstanceId;

/** Every instance hears of every change within the bounds that leaving targets and settings have, at few calls. */
class WatchSharingTest {
    private static final int DATA_CENTRES = 5;
    private static final int EACH = 19;
    private static final int ALL = DATA_CENTRES * EACH;
    /** The shortest time in which a leaving target has to be known everywhere. */
    private static final long BOUND_MS = 2_000;

    private final WatchedFleet fleet = WatchedFleet.of(DATA_CENTRES, EACH);

    @Test
    void twoInstancesOfADataCentreWatchAndAllHearAtOnce() {
        fleet.run(5_000);
        assertEquals(2 * DATA_CENTRES, fleet.reading().size());
        fleet.put("a", "ready");
        fleet.run(20);
        assertEquals(ALL, fleet.holding("a", "ready").size());
        fleet.remove("a");
        fleet.run(20);
        assertEquals(ALL, fleet.holding("a", null).size());
    }

    /** The watches of 95 instances wait three seconds each: 95 calls in three seconds before, 10 with readers. */
    @Test
    void callsAreThoseOfTheReaders() {
        fleet.run(5_000);
        long before = fleet.calls();
        fleet.run(30_000);
        assertTrue(fleet.calls() - before <= 10 * 2 * DATA_CENTRES, fleet.calls() - before + " calls");
    }

    /**
     * Callers see nothing of it. One of the two readers of each data centre stands still, by a collection or a frozen machine;
     * where it is the one that passes changes on, nobody does, and the other reader's next beat shows that one is missing.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aReaderThatStandsStillDelaysAChangeByOneBeat(int which) {
        fleet.run(5_000);
        for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
            fleet.standsStill(fleet.readingIn("dc-" + dataCentre).get(which));
        }
        fleet.put("a", "ready");
        fleet.run(BOUND_MS / 2);
        assertEquals(ALL - DATA_CENTRES, fleet.holding("a", "ready").size());
    }

    /**
     * Requests would still be sent to a target that has left. The service turns away both readers of four data centres and
     * one of the fifth, and serves all others: the remaining reader's beats tell the readers that it serves, which have their
     * neighbours' ear, and the instances that hear of none watch for themselves.
     */
    @Test
    void whatOneReaderHasSeenReachesAllThatTheServiceServes() {
        fleet.run(5_000);
        List<InstanceId> away = fleet.reading().subList(0, 2 * DATA_CENTRES - 1);
        away.forEach(fleet::turnAway);
        fleet.run(100);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS);
        List<InstanceId> deaf = new ArrayList<>(fleet.ids());
        deaf.removeAll(fleet.holding("a", "ready"));
        deaf.removeAll(away);
        assertEquals(List.of(), deaf);
    }

    /**
     * Requests would be sent to a target that has left, and refused by settings that have changed. The service tells no watch
     * of a change for a second, then drops its history and cuts them all. Only readers had a watch; they read the whole, and
     * their next beat shows their neighbours that they miss something.
     */
    @Test
    void whatALostHistoryHidReachesAllInTime() {
        fleet.run(5_000);
        fleet.holdBackNews();
        fleet.put("a", "ready");
        fleet.run(1_000);
        assertEquals(0, fleet.holding("a", "ready").size());
        fleet.loseHistory();
        fleet.run(BOUND_MS - 1_000);
        assertEquals(ALL, fleet.holding("a", "ready").size());
    }

    /** All readers crash at once, before any view shows it: after the silence each instance watches for itself. */
    @Test
    void withoutReadersEachInstanceWatchesByItself() {
        fleet.run(5_000);
        List<InstanceId> readers = fleet.reading();
        readers.forEach(fleet::standsStill);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS + 500);
        assertEquals(ALL - readers.size(), fleet.holding("a", "ready").size());
    }

    /** Readers that are gone from the views are followed by others, and those that watched meanwhile stop. */
    @Test
    void otherInstancesBecomeReaders() {
        fleet.run(5_000);
        List<InstanceId> readers = fleet.reading();
        readers.forEach(fleet::gone);
        fleet.run(6_000);
        List<InstanceId> living = new ArrayList<>(fleet.reading());
        living.removeAll(readers);
        assertEquals(2 * DATA_CENTRES, living.size());
    }

    /** A message is lost with its link; the next beat shows it, and the whole is asked for. */
    @Test
    void aLostMessageIsMadeUpFor() {
        fleet.run(5_000);
        fleet.ids().forEach(fleet::loseNextTo);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS);
        assertEquals(ALL, fleet.holding("a", "ready").size());
    }

    /**
     * All instances start together on slow machines and need three seconds to know one another, while each one's entry in the
     * list of instances is written. With watches of their own from 1.5 s on, and of each that a growing view names a reader for a
     * moment, they made 3,049 calls in these seconds; now it is 685, of which 95 read the whole.
     */
    @Test
    void aStartOfAllBeginsFewWatches() {
        WatchedFleet starting = WatchedFleet.starting(DATA_CENTRES, EACH, 3_000);
        starting.run(6_000);
        assertEquals(2 * DATA_CENTRES, starting.reading().size());
        assertTrue(starting.calls() < 8L * ALL, starting.calls() + " calls");
        for (InstanceId id : starting.ids()) {
            assertEquals(ALL, starting.holding(id.name(), "live").size());
        }
    }

    /** In a small fleet each instance watches: the beats would cost what the watches do. */
    @Test
    void aFewInstancesWatchEachByThemselves() {
        WatchedFleet small = WatchedFleet.of(3, 3);
        small.run(3_000);
        assertEquals(9, small.reading().size());
        small.put("a", "ready");
        small.run(20);
        assertEquals(9, small.holding("a", "ready").size());
    }

    /**
     * Whatever happens to readers and messages, and in whatever order, in the end all that live hold the same. Instances are
     * turned away and served again, messages get lost, entries come, change and go.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void allHoldTheSameInTheEnd(long seed) {
        Random random = new Random(seed);
        List<InstanceId> ids = fleet.ids();
        for (int i = 0; i < 200; i++) {
            InstanceId one = ids.get(random.nextInt(ids.size()));
            List<InstanceId> reading = fleet.reading();
            InstanceId reader = reading.isEmpty() ? one : reading.get(random.nextInt(reading.size()));
            switch (random.nextInt(7)) {
                case 0 -> fleet.put("k" + random.nextInt(5), "v" + i);
                case 1 -> fleet.remove("k" + random.nextInt(5));
                case 2 -> fleet.turnAway(random.nextBoolean() ? one : reader);
                case 3 -> ids.forEach(fleet::serveAgain);
                case 4 -> fleet.loseNextTo(one);
                case 5 -> ids.forEach(fleet::loseNextTo);
                default -> fleet.run(random.nextInt(1_500));
            }
        }
        ids.forEach(fleet::serveAgain);
        for (int i = 0; i < 5; i++) {
            fleet.put("k" + i, "last");
        }
        fleet.remove("k4");
        fleet.run(6_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(ALL, fleet.holding("k" + i, "last").size(), "k" + i);
        }
        assertEquals(ALL, fleet.holding("k4", null).size());
    }

    /**
     * Requests would go to targets that have left, and settings stay old: the service has come back from a copy that is some
     * seconds old, perhaps twice, while a reader stands still or is turned away. What was written since is gone and is written
     * again in another order. Two seconds after the last change all that are served hold what the service holds.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void afterAnOlderCopyAllHoldWhatTheServiceHolds(long seed) {
        Random random = new Random(seed);
        WatchedFleet drilled = WatchedFleet.of(1 + random.nextInt(3), 2 + random.nextInt(9));
        drilled.run(5_000);
        change(drilled, random, 5);
        InstanceId disturbed = drilled.ids().get(random.nextInt(drilled.ids().size()));
        for (int drill = 0; drill <= random.nextInt(2); drill++) {
            Map<String, WatchedEntry> copy = drilled.copy();
            change(drilled, random, 12);
            if (random.nextBoolean()) {
                drilled.standsStill(disturbed);
            } else {
                drilled.turnAway(disturbed);
            }
            drilled.run(random.nextInt(2_000));
            drilled.comeBackFrom(copy, random);
            change(drilled, random, random.nextInt(6));
            drilled.wakes(disturbed);
            drilled.serveAgain(disturbed);
        }
        drilled.put("last", "ready");
        drilled.run(BOUND_MS);
        assertEquals(List.of(), drilled.astray(), "seed " + seed);
    }

    static LongStream seeds() {
        return LongStream.range(0, 200);
    }

    private static void change(WatchedFleet changed, Random random, int times) {
        for (int i = 0; i < times; i++) {
            String key = "t" + random.nextInt(6);
            if (random.nextInt(3) == 0) {
                changed.remove(key);
            } else {
                changed.put(key, "write " + random.nextInt(1_000));
            }
            changed.run(random.nextInt(300));
        }
    }
}
