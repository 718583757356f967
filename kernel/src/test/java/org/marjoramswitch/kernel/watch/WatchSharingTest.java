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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Every instance receives every change within the bounds for draining targets and settings, with few calls of the
 * store.
 */
class WatchSharingTest {
    private static final int DATA_CENTRES = 5;
    private static final int EACH = 19;
    private static final int ALL = DATA_CENTRES * EACH;
    /** The tightest bound on the time until all instances know that a target is draining. */
    private static final long BOUND_MS = 2_000;

    private static final long HEARTBEAT_MS = 500;
    /** Time in which the simulated instances detect that their watch is silent. */
    private static final long SILENCE_DETECTED_MS = 1_700;

    private final WatchedFleet fleet = WatchedFleet.of(DATA_CENTRES, EACH);

    @Test
    void twoInstancesPerDataCentreWatchAndAllReceiveChangesImmediately() {
        fleet.run(5_000);
        assertEquals(2 * DATA_CENTRES, fleet.watching().size());
        fleet.put("a", "ready");
        fleet.run(20);
        assertEquals(ALL, fleet.instancesWith("a", "ready").size());
        fleet.remove("a");
        fleet.run(20);
        assertEquals(ALL, fleet.instancesWith("a", null).size());
    }

    /**
     * A watch call waits for three seconds: 95 watching instances make 95 calls in that time, two watchers per data
     * centre only 10.
     */
    @Test
    void onlyWatchersCallTheStore() {
        fleet.run(5_000);
        long before = fleet.calls();
        fleet.run(30_000);
        assertTrue(fleet.calls() - before <= 10 * 2 * DATA_CENTRES, fleet.calls() - before + " calls");
    }

    /**
     * One of the two watchers of each data centre pauses, by a garbage collection or a frozen machine. If it is the one
     * that forwards changes, the other watcher's next heartbeat shows the instances that a change is missing. Callers
     * must not be affected.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aPausedWatcherDelaysAChangeByOneHeartbeat(int pausedIndex) {
        fleet.run(5_000);
        for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
            fleet.pause(fleet.watchingIn("dc-" + dataCentre).get(pausedIndex));
        }
        fleet.put("a", "ready");
        fleet.run(BOUND_MS / 2);
        assertEquals(ALL - DATA_CENTRES, fleet.instancesWith("a", "ready").size());
    }

    /**
     * The store rejects both watchers of four data centres and one of the fifth, and serves all other instances. The
     * remaining watcher's heartbeats reach its neighbours and the watchers of the other data centres; instances that
     * receive no heartbeats open their own watch. Otherwise requests would still be sent to a target that is gone.
     */
    @Test
    void aChangeSeenByOneWatcherReachesAllThatTheStoreServes() {
        fleet.run(5_000);
        List<InstanceId> rejected = fleet.watching().subList(0, 2 * DATA_CENTRES - 1);
        rejected.forEach(fleet::reject);
        fleet.run(100);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS);
        List<InstanceId> missing = new ArrayList<>(fleet.ids());
        missing.removeAll(fleet.instancesWith("a", "ready"));
        missing.removeAll(rejected);
        assertEquals(List.of(), missing);
    }

    /**
     * The store reports a change to no watch for a second, then drops its history and closes all watches. Only the
     * watchers had a watch; they read all entries, and their next heartbeat shows the neighbours that a change is
     * missing. Otherwise requests would be sent to a target that is gone, and rejected under outdated settings.
     */
    @Test
    void aChangeLostByCompactionReachesAllInTime() {
        fleet.run(5_000);
        fleet.holdBackUpdates();
        fleet.put("a", "ready");
        fleet.run(1_000);
        assertEquals(0, fleet.instancesWith("a", "ready").size());
        fleet.compactHistory();
        fleet.run(BOUND_MS - 1_000);
        assertEquals(ALL, fleet.instancesWith("a", "ready").size());
    }

    /**
     * All watchers crash at the same moment, before any view shows it. After the heartbeat timeout each instance opens
     * its own watch.
     */
    @Test
    void withoutWatchersEachInstanceOpensItsOwnWatch() {
        fleet.run(5_000);
        List<InstanceId> watchers = fleet.watching();
        watchers.forEach(fleet::pause);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS + 500);
        assertEquals(ALL - watchers.size(), fleet.instancesWith("a", "ready").size());
    }

    /**
     * Watchers that are removed from the views are replaced by others, and instances that watched in the meantime stop.
     */
    @Test
    void otherInstancesReplaceRemovedWatchers() {
        fleet.run(5_000);
        List<InstanceId> watchers = fleet.watching();
        watchers.forEach(fleet::removeFromViews);
        fleet.run(6_000);
        List<InstanceId> living = new ArrayList<>(fleet.watching());
        living.removeAll(watchers);
        assertEquals(2 * DATA_CENTRES, living.size());
    }

    /**
     * A message is lost with its link; the next heartbeat shows the loss, and a copy is requested.
     */
    @Test
    void aLostMessageIsRecoveredByACopy() {
        fleet.run(5_000);
        fleet.ids().forEach(fleet::dropNextMessageTo);
        fleet.put("a", "ready");
        fleet.run(BOUND_MS);
        assertEquals(ALL, fleet.instancesWith("a", "ready").size());
    }

    /**
     * All instances start together on slow machines and need three seconds to discover one another, while the list
     * entry of each one is written. If instances open own watches from 1.5 s on, and each one that a growing view
     * selects as watcher for a moment watches, they make 3,049 calls in these seconds; with the startup grace and the
     * minimum selection time 685, of which 95 are full reads.
     */
    @Test
    void aSimultaneousStartOpensFewWatches() {
        WatchedFleet starting = WatchedFleet.starting(DATA_CENTRES, EACH, 3_000);
        starting.run(6_000);
        assertEquals(2 * DATA_CENTRES, starting.watching().size());
        assertTrue(starting.calls() < 8L * ALL, starting.calls() + " calls");
        for (InstanceId id : starting.ids()) {
            assertEquals(ALL, starting.instancesWith(id.name(), "live").size());
        }
    }

    /**
     * In a small fleet each instance watches, since heartbeats would cost as much as watches.
     */
    @Test
    void allInstancesOfASmallFleetWatch() {
        WatchedFleet small = WatchedFleet.of(3, 3);
        small.run(3_000);
        assertEquals(9, small.watching().size());
        small.put("a", "ready");
        small.run(20);
        assertEquals(9, small.instancesWith("a", "ready").size());
    }

    /**
     * Guards against an arbiter that uses the list of targets as of its last read while the store is silent to it alone:
     * its peers would not use new targets, and would use those that have left.
     */
    @ParameterizedTest
    @CsvSource({"1, 2", "1, 4", "3, 1", "3, 3", "1, 5", "2, 19"})
    void instanceWithASilentStoreReceivesChangesFromItsPeers(int dataCentres, int each) {
        WatchedFleet disturbed = WatchedFleet.of(dataCentres, each);
        disturbed.run(5_000);
        disturbed.put("left", "ready");
        disturbed.run(20);
        InstanceId silent = disturbed.watching().get(0);
        disturbed.silence(silent);
        disturbed.put("a", "ready");
        disturbed.run(SILENCE_DETECTED_MS + HEARTBEAT_MS + 100);
        assertEquals(List.of(), disturbed.outOfSync());
        disturbed.remove("left");
        disturbed.put("b", "ready");
        disturbed.run(HEARTBEAT_MS + 100);
        assertEquals(List.of(), disturbed.outOfSync());
        disturbed.endSilence(silent);
        disturbed.run(1_000);
        disturbed.put("c", "ready");
        disturbed.run(HEARTBEAT_MS + 100);
        assertEquals(List.of(), disturbed.outOfSync());
    }

    /** The same for a data centre in which the store is silent to both watchers, which send no heartbeats then. */
    @Test
    void bothWatchersWithASilentStoreReceiveChangesFromInstancesOfTheirDataCentre() {
        WatchedFleet disturbed = WatchedFleet.of(1, 12);
        disturbed.run(5_000);
        disturbed.watching().forEach(disturbed::silence);
        disturbed.put("a", "ready");
        // The other instances open their own watches after the heartbeat timeout.
        disturbed.run(SILENCE_DETECTED_MS + BOUND_MS + 2 * HEARTBEAT_MS);
        assertEquals(List.of(), disturbed.outOfSync());
    }

    /** A store that is silent to all instances leaves them with their entries, and with the store's once it responds. */
    @Test
    void instancesKeepTheirEntriesWhileTheStoreIsSilentToAll() {
        WatchedFleet small = WatchedFleet.of(1, 3);
        small.run(5_000);
        small.put("a", "ready");
        small.run(20);
        small.ids().forEach(small::silence);
        small.remove("a");
        small.run(10_000);
        assertEquals(3, small.instancesWith("a", "ready").size());
        small.ids().forEach(small::endSilence);
        small.run(1_000);
        assertEquals(List.of(), small.outOfSync());
    }

    /** An older revision of a peer must not replace what an instance has read from a store that was restored since. */
    @Test
    void copiesFromBeforeARestoreAreIgnored() {
        WatchedFleet small = WatchedFleet.of(1, 2);
        small.run(5_000);
        Map<String, WatchedEntry> snapshot = small.snapshot();
        small.put("lost", "ready");
        small.run(20);
        InstanceId silent = small.ids().get(0);
        small.silence(silent);
        small.run(SILENCE_DETECTED_MS);
        small.restoreFrom(snapshot, new Random(1));
        small.run(1_000);
        assertEquals(List.of(), small.outOfSync());
        small.silence(small.ids().get(1));
        small.run(3_000);
        assertEquals(List.of(), small.outOfSync());
    }

    /** While the store responds, instances that watch for themselves exchange nothing. */
    @Test
    void noMessagesWhileTheStoreResponds() {
        WatchedFleet small = WatchedFleet.of(3, 3);
        small.run(60_000);
        assertEquals(0, small.messages());
    }

    /**
     * Instances are rejected and accepted again, messages are lost, entries are added, changed and removed, in random
     * order. In the end all live instances hold the same entries.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void allInstancesConverge(long seed) {
        Random random = new Random(seed);
        List<InstanceId> ids = fleet.ids();
        for (int i = 0; i < 200; i++) {
            InstanceId one = ids.get(random.nextInt(ids.size()));
            List<InstanceId> watching = fleet.watching();
            InstanceId watcher = watching.isEmpty() ? one : watching.get(random.nextInt(watching.size()));
            switch (random.nextInt(7)) {
                case 0 -> fleet.put("k" + random.nextInt(5), "v" + i);
                case 1 -> fleet.remove("k" + random.nextInt(5));
                case 2 -> fleet.reject(random.nextBoolean() ? one : watcher);
                case 3 -> ids.forEach(fleet::accept);
                case 4 -> fleet.dropNextMessageTo(one);
                case 5 -> ids.forEach(fleet::dropNextMessageTo);
                default -> fleet.run(random.nextInt(1_500));
            }
        }
        ids.forEach(fleet::accept);
        for (int i = 0; i < 5; i++) {
            fleet.put("k" + i, "last");
        }
        fleet.remove("k4");
        fleet.run(6_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(ALL, fleet.instancesWith("k" + i, "last").size(), "k" + i);
        }
        assertEquals(ALL, fleet.instancesWith("k4", null).size());
    }

    /**
     * The store is restored from a copy some seconds old, perhaps twice, while an instance is paused or rejected.
     * Changes since the copy are lost and written again in another order. Two seconds after the last change every
     * instance that the store serves must hold the store's entries; otherwise requests would be sent to targets that
     * are gone, and settings would stay outdated.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void allInstancesMatchTheStoreAfterARestore(long seed) {
        Random random = new Random(seed);
        WatchedFleet restored = WatchedFleet.of(1 + random.nextInt(3), 2 + random.nextInt(9));
        restored.run(5_000);
        change(restored, random, 5);
        InstanceId disturbed = restored.ids().get(random.nextInt(restored.ids().size()));
        for (int round = 0; round <= random.nextInt(2); round++) {
            Map<String, WatchedEntry> snapshot = restored.snapshot();
            change(restored, random, 12);
            if (random.nextBoolean()) {
                restored.pause(disturbed);
            } else {
                restored.reject(disturbed);
            }
            restored.run(random.nextInt(2_000));
            restored.restoreFrom(snapshot, random);
            change(restored, random, random.nextInt(6));
            restored.resume(disturbed);
            restored.accept(disturbed);
        }
        restored.put("last", "ready");
        restored.run(BOUND_MS);
        assertEquals(List.of(), restored.outOfSync(), "seed " + seed);
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
