package org.marjoramswitch.kernel.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.wire.DatagramCodec;

class FailureDetectorTest {
    private static final int FLEET = 9;
    /** 350 gives the figures of docs/MEMBERSHIP.md; fewer show the same and take less time. */
    private static final int LARGE_FLEET = Integer.getInteger("membership.large", 120);

    private static final Set<Integer> ALL = instances(0, FLEET);

    private final SimulatedNetwork loop = new SimulatedNetwork(42);

    @Test
    void aFleetThatStartsTogetherFindsItself() {
        loop.startAll(FLEET);
        long convergedMs = loop.runUntil(() -> loop.agree(ALL, ALL), 10_000);
        System.out.println("event=measured case=start members=9 converged_ms=" + convergedMs);
        assertNotEquals(-1, convergedMs);
        loop.run(60_000);
        assertEquals(0, loop.countChanges("SUSPECTED"), "no loss, so no suspicion");
        assertTrue(loop.largestBytes <= DatagramCodec.MAX_BYTES);
    }

    @Test
    void aCrashedInstanceLeavesEveryViewWithinSeconds() {
        // One of nine instances dies without a word. Whoever probes it next suspects it, the suspicion spreads, and
        // after the suspicion time each of the others drops it from its view. Twenty runs, each another instance.
        List<Long> timesMs = new ArrayList<>();
        for (int round = 0; round < 20; round++) {
            SimulatedNetwork rounds = new SimulatedNetwork(round);
            rounds.startAll(FLEET);
            rounds.run(5_000 + round * 37L);
            int victim = round % FLEET;
            rounds.detectors.remove(victim);
            Set<Integer> rest = without(ALL, victim);
            timesMs.add(rounds.runUntil(() -> rounds.agree(rest, rest), 10_000));
        }
        timesMs.sort(null);
        System.out.println("event=measured case=crash members=9 all_views_ms=" + timesMs);
        assertTrue(timesMs.get(0) > 0, timesMs::toString);
        assertTrue(timesMs.get(10) <= 2_000, timesMs::toString);
        assertTrue(timesMs.get(19) <= 4_000, timesMs::toString);
    }

    @Property(tries = 15, seed = "21")
    void lossAndDelayDoNotBreakTheFleetForLong(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 20) int lossPercent) {
        SimulatedNetwork lossy = new SimulatedNetwork(seed);
        lossy.startAll(FLEET);
        lossy.lossShare = lossPercent / 100.0;
        lossy.maxDelayMs = 40;
        lossy.run(30_000);
        lossy.lossShare = 0;
        assertNotEquals(-1, lossy.runUntil(() -> lossy.agree(ALL, ALL), 10_000));
    }

    @Test
    void aTwentiethOfTheDatagramsLostBringsNoFalseDeath() {
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.lossShare = 0.05;
        loop.run(600_000);
        System.out.println("event=measured case=loss members=9 loss=0.05 minutes=10 suspicions="
                + loop.countChanges("SUSPECTED") + " deaths=" + loop.countChanges("DIED"));
        assertEquals(0, loop.countChanges("DIED"));
    }

    @Property(tries = 10, seed = "22")
    void aPartitionHeals(@ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int cut) {
        // The fleet is cut in two for 20 s. Each side drops the other and serves on. When the cut ends the sides find
        // each other again by pinging what they hold dead, and all see all.
        SimulatedNetwork divided = new SimulatedNetwork(seed);
        divided.startAll(FLEET);
        divided.run(5_000);
        divided.carries = (from, to) -> (from < cut) == (to < cut);
        divided.run(20_000);
        assertTrue(divided.agree(instances(0, cut), instances(0, cut)));
        assertTrue(divided.agree(instances(cut, FLEET), instances(cut, FLEET)));

        divided.carries = (from, to) -> true;
        assertNotEquals(-1, divided.runUntil(() -> divided.agree(ALL, ALL), 10_000));
    }

    @Test
    void aPartitionHealsWithoutTheList() {
        // The platform's service is down and names nobody. What each side remembers of the dead is enough.
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.readList(0);
        loop.carries = (from, to) -> (from < 4) == (to < 4);
        loop.run(60_000);
        loop.carries = (from, to) -> true;
        assertNotEquals(-1, loop.runUntil(() -> loop.agree(ALL, ALL), 10_000));
    }

    @Test
    void oneBrokenPathAccusesNobody() {
        // Datagrams between two instances are lost both ways, all other paths work. The probes through helpers
        // answer for the broken path, and no view changes.
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.carries = (from, to) -> from + to != 3 || Math.abs(from - to) != 1;
        loop.run(60_000);
        assertEquals(0, loop.countChanges("DIED"));
        assertTrue(loop.agree(ALL, ALL));
    }

    @Test
    void anInstancePausedPastDetectionComesBackAndAccusesNobody() {
        // One instance stops for 10 s and is dead to all. It resumes with its old state and a late clock: it holds its
        // own wait against nobody, hears that it is suspect, answers, and is back under the same incarnation.
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.paused.add(4);
        loop.run(10_000);
        Set<Integer> rest = without(ALL, 4);
        assertTrue(loop.agree(rest, rest));
        loop.changes.clear();

        loop.paused.remove(4);
        long backMs = loop.runUntil(() -> loop.agree(ALL, ALL), 10_000);

        System.out.println("event=measured case=resume members=9 back_ms=" + backMs);
        assertNotEquals(-1, backMs);
        assertEquals(
                0,
                loop.changes.stream()
                        .filter(change -> change.startsWith("4 ") && change.endsWith("DIED"))
                        .count());
        assertTrue(loop.countChanges("REFUTED") >= 1);
    }

    @Test
    void anEmptyRestartShowsItsNewIncarnationEvenIfTheDeathWasNotNoticed() {
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.start(2, 2);
        loop.readList(FLEET);
        assertNotEquals(
                -1,
                loop.runUntil(
                        () -> loop.detectors.values().stream()
                                .allMatch(detector -> incarnation(detector, 2) == SimulatedNetwork.INCARNATION + 2),
                        5_000));
        assertEquals(0, loop.countChanges("DIED"));
    }

    @Test
    void anOlderProcessUnderTheSameNameIsToldAndDoesNotArgue() {
        loop.startAll(FLEET);
        loop.run(5_000);
        FailureDetector old = loop.detectors.get(2);
        loop.start(2, 2);
        loop.readList(FLEET);
        loop.run(5_000);
        long newer = SimulatedNetwork.INCARNATION + 2;
        Datagram.Sender young =
                new Datagram.Sender(SimulatedNetwork.id(2), newer, 0, false, false, DataCentreId.of("leith-2"), 0, 0);
        List<MembershipAction> actions = old.onDatagram(
                SimulatedNetwork.address(2), new Datagram(young, new Datagram.Ping(1), List.of()), loop.nowMs);
        assertEquals(
                List.of(new MembershipAction.MemberChanged(
                        SimulatedNetwork.id(2), newer, MembershipAction.Change.SUPERSEDED)),
                actions);
    }

    @Test
    void leavingIsSeenByAllAndDepartingNeedsNoDetection() {
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.perform(3, loop.detectors.get(3).onLeave(loop.nowMs));
        long seenMs = loop.runUntil(
                () -> loop.detectors.values().stream()
                        .allMatch(detector ->
                                detector.view().member(SimulatedNetwork.id(3)).leaving()),
                5_000);
        System.out.println("event=measured case=leaving members=9 seen_ms=" + seenMs);
        assertTrue(seenMs >= 0 && seenMs <= 300);

        loop.perform(3, loop.detectors.get(3).onDepart(loop.nowMs));
        Set<Integer> rest = without(ALL, 3);
        loop.run(50);
        loop.detectors.remove(3);
        assertNotEquals(-1, loop.runUntil(() -> loop.agree(rest, rest), 1_000));
        loop.run(5_000);
        assertTrue(loop.agree(rest, rest));
        assertEquals(0, loop.countChanges("SUSPECTED"));
    }

    @Test
    void theListNeitherRemovesNorHidesAnInstance() {
        loop.startAll(FLEET);
        loop.run(5_000);
        loop.readList(5);
        loop.run(10_000);
        assertTrue(loop.agree(ALL, ALL));
    }

    @Test
    void anUnsteadyInstanceChangesViewsLessAndLess() {
        // One instance is cut off for 3 s out of every 6, for two minutes. Were each gap a death, every view would
        // change 40 times. Since the wait grows after each death, it soon outlasts the gaps; steady again, all agree.
        loop.startAll(FLEET);
        loop.run(5_000);
        for (int round = 0; round < 20; round++) {
            loop.carries = (from, to) -> from != 6 && to != 6;
            loop.run(3_000);
            loop.carries = (from, to) -> true;
            loop.run(3_000);
        }
        long deaths = loop.changes.stream()
                .filter(change -> change.startsWith("0 ") && change.endsWith("leith-a-6 DIED"))
                .count();
        System.out.println("event=measured case=flapping gaps=20 deaths_seen_by_one=" + deaths);
        assertTrue(deaths >= 1 && deaths <= 8, () -> "deaths " + deaths);
        assertNotEquals(-1, loop.runUntil(() -> loop.agree(ALL, ALL), 10_000));
    }

    @Test
    void aNewerGenerationIsNoticedByAll() {
        loop.startAll(FLEET);
        loop.run(5_000);
        FailureDetector first = loop.detectors.get(0);
        first.announceGeneration(7);
        Set<Integer> noticed = new HashSet<>(Set.of(0));
        Map<Integer, FailureDetector> all = loop.detectors;
        long spreadMs = loop.runUntil(
                () -> {
                    all.forEach((i, detector) -> {
                        if (detector.generations().containsValue(7L) && noticed.add(i)) {
                            detector.announceGeneration(7);
                        }
                    });
                    return noticed.size() == FLEET;
                },
                10_000);
        System.out.println("event=measured case=generation members=9 spread_ms=" + spreadMs);
        assertNotEquals(-1, spreadMs);
    }

    @Test
    void theCostPerInstanceDoesNotGrowWithTheFleet() {
        Cost nine = steadyCost(9);
        Cost many = steadyCost(LARGE_FLEET);
        System.out.println("event=measured case=steady members=9 " + nine);
        System.out.println("event=measured case=steady members=" + LARGE_FLEET + " " + many);
        assertTrue(nine.datagramsPerS() <= 8, nine::toString);
        assertTrue(many.datagramsPerS() <= nine.datagramsPerS() * 1.1, many::toString);
        assertTrue(many.bytesPerS() <= nine.bytesPerS() * 1.2, many::toString);
        assertTrue(many.worstBytesPerS() <= 1_024, many::toString);
    }

    @Test
    void aLargeFleetCutInHalvesHeals() {
        int fleet = LARGE_FLEET;
        loop.checkEveryMs = 500;
        Set<Integer> all = instances(0, fleet);
        loop.startAll(fleet);
        int half = fleet / 2;
        long startMs = loop.runUntil(() -> loop.agree(all, all), 60_000);
        loop.carries = (from, to) -> (from < half) == (to < half);
        long splitMs = loop.runUntil(
                () -> loop.agree(instances(0, half), instances(0, half))
                        && loop.agree(instances(half, fleet), instances(half, fleet)),
                60_000);
        loop.carries = (from, to) -> true;
        loop.resetCounts();
        long healMs = loop.runUntil(() -> loop.agree(all, all), 120_000);
        System.out.println("event=measured case=halves members=" + fleet + " start_ms=" + startMs + " split_ms="
                + splitMs + " heal_ms=" + healMs + worst(healMs) + " largest_datagram_bytes=" + loop.largestBytes);
        assertFalse(startMs < 0 || splitMs < 0 || healMs < 0);
        assertTrue(loop.largestBytes <= DatagramCodec.MAX_BYTES);
    }

    @Test
    void aDataCentreLostFromALargeFleetLeavesEveryView() {
        // One instance in six stops at the same moment. Every other instance drops all of them.
        int fleet = LARGE_FLEET;
        loop.checkEveryMs = 500;
        loop.startAll(fleet);
        loop.run(60_000);
        int kept = fleet - fleet / 6;
        loop.detectors.keySet().removeIf(i -> i >= kept);
        loop.resetCounts();
        Set<Integer> rest = instances(0, kept);
        long allMs = loop.runUntil(() -> loop.agree(rest, rest), 60_000);
        System.out.println("event=measured case=data_centre members=" + fleet + " lost=" + fleet / 6 + " all_views_ms="
                + allMs + worst(allMs));
        assertNotEquals(-1, allMs);
    }

    private String worst(long forMs) {
        long worstBytes =
                loop.bytesOut.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return " worst_bytes_out_s=" + worstBytes * 1_000 / Math.max(1, forMs);
    }

    private static Cost steadyCost(int members) {
        SimulatedNetwork steady = new SimulatedNetwork(members);
        steady.startAll(members);
        steady.run(members * 300L);
        assertTrue(steady.agree(instances(0, members), instances(0, members)));
        steady.resetCounts();
        int seconds = 30;
        steady.run(seconds * 1_000L);
        long datagrams =
                steady.datagramsOut.values().stream().mapToLong(Long::longValue).sum();
        long bytes =
                steady.bytesOut.values().stream().mapToLong(Long::longValue).sum();
        long worst = steady.bytesOut.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        return new Cost(
                (double) datagrams / members / seconds, (double) bytes / members / seconds, (double) worst / seconds);
    }

    private static Long incarnation(FailureDetector detector, int instance) {
        Member member = detector.view().member(SimulatedNetwork.id(instance));
        return member == null ? -1L : member.incarnation();
    }

    private static Set<Integer> instances(int from, int to) {
        return IntStream.range(from, to).boxed().collect(Collectors.toSet());
    }

    private static Set<Integer> without(Set<Integer> all, int one) {
        Set<Integer> rest = new HashSet<>(all);
        rest.remove(one);
        return rest;
    }

    private record Cost(double datagramsPerS, double bytesPerS, double worstBytesPerS) {
        @Override
        public String toString() {
            return String.format(
                    "datagrams_out_s=%.1f bytes_out_s=%.0f worst_bytes_out_s=%.0f",
                    datagramsPerS, bytesPerS, worstBytesPerS);
        }
    }
}
