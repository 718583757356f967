package org.marjoramswitch.kernel.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Guards against the metastable overload of a small instance: one customer floods it, the lag check rejects everything,
 * and the rejections alone keep the instance behind, so that nothing is served for seconds.
 */
class InstanceAdmissionTest {
    private static final CustomerId FLOODING = CustomerId.of("flooding");
    private static final List<CustomerId> ORDINARY =
            IntStream.range(0, 5).mapToObj(i -> CustomerId.of("ordinary-" + i)).toList();
    private static final double ORDINARY_PER_S = 8;
    private static final double BEGIN_MS = 3_000;
    private static final double END_MS = 9_000;

    /** Core time of a request of the mix on average. */
    private static double meanCoreMs() {
        return OverloadedInstance.MIX.stream()
                .mapToDouble(OverloadedInstance.Kind::serveCoreMs)
                .average()
                .orElseThrow();
    }

    private static double sustainablePerS() {
        return OverloadedInstance.MILLICORES / meanCoreMs();
    }

    /** Tokens that the instance could serve the flooding customer if rejections cost nothing. */
    private static double idealTokens(double seconds) {
        double left = sustainablePerS() - ORDINARY.size() * ORDINARY_PER_S;
        return seconds
                * left
                * OverloadedInstance.MIX.stream()
                        .mapToLong(OverloadedInstance.Kind::tokens)
                        .average()
                        .orElseThrow();
    }

    private static void flood(OverloadedInstance instance, double factor) {
        ORDINARY.forEach(customer -> instance.load(customer, ORDINARY_PER_S, 1_000, END_MS + 3_000));
        instance.load(FLOODING, 20, 1_000, END_MS + 3_000);
        instance.load(FLOODING, factor * sustainablePerS(), BEGIN_MS, END_MS);
        instance.runUntil(BEGIN_MS);
        instance.resetCounts();
        instance.runUntil(END_MS);
    }

    private static String summary(OverloadedInstance instance) {
        OverloadedInstance.Counts flooding = instance.counts(FLOODING);
        int sent = ORDINARY.stream()
                .mapToInt(customer -> instance.counts(customer).sent)
                .sum();
        int admitted = ORDINARY.stream()
                .mapToInt(customer -> instance.counts(customer).admitted)
                .sum();
        return "flooding sent=" + flooding.sent + " admitted=" + flooding.admitted + " rejected=" + flooding.rejected
                + " unread=" + flooding.unread + " kinds=" + flooding.servedByKind + " ofIdeal="
                + flooding.servedTokens / idealTokens((END_MS - BEGIN_MS) / 1_000) + " ordinary sent=" + sent
                + " admitted=" + admitted + " gapMs=" + instance.longestGapMs();
    }

    /** The rule for other instances, in the same simulation: shows that the simulation has the metastable state. */
    @Test
    void allOrNothingRuleServesNothingForSeconds() {
        OverloadedInstance instance = new OverloadedInstance(OverloadedInstance.allOrNothing(), 0.38, 1);
        flood(instance, 3);
        assertTrue(instance.longestGapMs() > 2_000, summary(instance));
    }

    @ParameterizedTest
    @CsvSource({"3, 0.38, 1", "5, 0.38, 2", "10, 0.38, 3", "10, 0.38, 4", "3, 0.13, 5", "10, 0.13, 6"})
    void floodDoesNotAffectOtherCustomersAndIsServed(double factor, double rejectCoreMs, long seed) {
        OverloadedInstance instance = instance(rejectCoreMs, seed);
        flood(instance, factor);
        String summary = summary(instance);
        int sent = ORDINARY.stream()
                .mapToInt(customer -> instance.counts(customer).sent)
                .sum();
        int admitted = ORDINARY.stream()
                .mapToInt(customer -> instance.counts(customer).admitted)
                .sum();
        assertTrue(admitted >= 0.9 * sent, summary);
        double servedTokens = instance.counts(FLOODING).servedTokens;
        assertTrue(servedTokens >= 0.5 * idealTokens((END_MS - BEGIN_MS) / 1_000), summary);
        assertTrue(instance.longestGapMs() < 200, summary);
        // Cheaper rejections leave more retries, which come back after the flood.
        instance.runUntil(END_MS + (rejectCoreMs > 0.2 ? 1_000 : 1_500));
        instance.resetCounts();
        instance.runUntil(END_MS + 2_900);
        assertEquals(0, instance.counts(FLOODING).rejected, "after the flood");
        assertEquals(0, instance.counts(FLOODING).unread, "after the flood");
    }

    /** Guards against the kinds with few tokens per work, such as plain calls, being starved in favour of the others. */
    @Test
    void eachKindKeepsAPartOfTheShareAndDenseOnesArePreferred() {
        OverloadedInstance instance = instance(0.38, 1);
        flood(instance, 5);
        Map<String, Integer> served = instance.counts(FLOODING).servedByKind;
        int all = served.values().stream().mapToInt(Integer::intValue).sum();
        for (OverloadedInstance.Kind kind : OverloadedInstance.MIX) {
            assertTrue(served.getOrDefault(kind.name(), 0) >= 0.25 * all / 4, summary(instance));
        }
        assertTrue(served.getOrDefault("report", 0) > 1.5 * served.getOrDefault("plain", 0), summary(instance));
    }

    /** Guards against rejecting requests because a garbage collection or an exhausted quota stopped the process. */
    @ParameterizedTest
    @CsvSource({"70", "200", "500"})
    void pausesBelowCapacityRejectNothing(double pauseMs) {
        for (long seed = 1; seed <= 20; seed++) {
            OverloadedInstance instance = instance(0.38, seed);
            instance.load(FLOODING, 0.5 * sustainablePerS(), 1_000, 9_000);
            ORDINARY.forEach(customer -> instance.load(customer, ORDINARY_PER_S, 1_000, 9_000));
            for (double atMs = 2_000; atMs < 9_000; atMs += 2_000) {
                instance.pause(atMs, pauseMs);
            }
            instance.runUntil(12_000);
            assertEquals(0, instance.counts(FLOODING).rejected, "seed " + seed);
            ORDINARY.forEach(customer -> assertEquals(0, instance.counts(customer).rejected));
        }
    }

    /**
     * Guards against shares in proportion to the connections that customers open: one of two customers above their share
     * then gets far less than the other one at an instance that reads only a part of its connections.
     */
    @ParameterizedTest
    @CsvSource({"600, 200, 1", "900, 300, 2", "1200, 300, 3", "1500, 400, 4", "300, 900, 5"})
    void customersThatOpenMoreConnectionsGetNoLargerShare(double manyPerS, double fewPerS, long seed) {
        CustomerId few = CustomerId.of("few");
        OverloadedInstance instance = instance(0.38, seed);
        ORDINARY.forEach(customer -> instance.loadOnNewConnections(customer, ORDINARY_PER_S, 1_000, END_MS));
        instance.loadOnNewConnections(FLOODING, manyPerS, 1_000, END_MS);
        instance.loadOnNewConnections(few, fewPerS, 1_000, END_MS);
        instance.runUntil(BEGIN_MS);
        instance.resetCounts();
        instance.runUntil(END_MS);
        String summary = summary(instance) + " few sent=" + instance.counts(few).sent + " admitted="
                + instance.counts(few).admitted + " unread=" + instance.counts(few).unread + " tokens="
                + instance.counts(few).servedTokens + " of " + instance.counts(FLOODING).servedTokens;
        double least = Math.min(instance.counts(few).servedTokens, instance.counts(FLOODING).servedTokens);
        double most = Math.max(instance.counts(few).servedTokens, instance.counts(FLOODING).servedTokens);
        assertTrue(least >= 0.5 * most, summary);
        for (CustomerId customer : ORDINARY) {
            assertTrue(instance.counts(customer).admitted >= 0.9 * instance.counts(customer).sent, summary);
        }
    }

    /**
     * Guards against arbiters that know little of a flooding customer's demand, and so take it for served while its requests
     * are rejected unread.
     */
    @ParameterizedTest
    @CsvSource({"2, 1", "4, 2", "12, 3"})
    void demandOfAFloodingCustomerIsReportedInFull(double factor, long seed) {
        OverloadedInstance instance = instance(0.38, seed);
        instance.loadOnNewConnections(FLOODING, factor * sustainablePerS(), 1_000, END_MS);
        instance.runUntil(BEGIN_MS);
        instance.report();
        instance.resetCounts();
        instance.runUntil(END_MS);
        instance.report();
        OverloadedInstance.Counts counts = instance.counts(FLOODING);
        double ratio = counts.reportedTokens / counts.rejectedTokens;
        assertTrue(ratio >= 0.95 && ratio <= 1.05, "reported " + ratio + ", " + summary(instance));
    }

    /**
     * Guards against a flood of connections of which few tokens are served, since those that are served next are selected
     * without regard to what they are worth for their processor time.
     */
    @ParameterizedTest
    @CsvSource({"2, 0.8, 1", "4, 0.8, 2", "4, 0.8, 3", "12, 0.6, 4"})
    void floodOfConnectionsIsServedNearlyTheTokensOfTheCapacity(double factor, double minShare, long seed) {
        OverloadedInstance instance = instance(0.38, seed);
        ORDINARY.forEach(customer -> instance.loadOnNewConnections(customer, ORDINARY_PER_S, 1_000, END_MS));
        instance.loadOnNewConnections(FLOODING, factor * sustainablePerS(), 1_000, END_MS);
        instance.runUntil(BEGIN_MS);
        instance.resetCounts();
        instance.runUntil(END_MS);
        double capacityTokens = idealTokens((END_MS - BEGIN_MS) / 1_000);
        assertTrue(instance.counts(FLOODING).servedTokens >= minShare * capacityTokens, summary(instance));
        for (OverloadedInstance.Kind kind : OverloadedInstance.MIX) {
            assertTrue(
                    instance.counts(FLOODING).servedByKind.getOrDefault(kind.name(), 0) > 0,
                    kind.name() + " is starved, " + summary(instance));
        }
    }

    /** Guards against the kinds with few tokens per work being starved where each request comes on a connection of its own. */
    @ParameterizedTest
    @CsvSource({"2, 1", "4, 2", "12, 3"})
    void eachKindKeepsAPartOfAFloodOfConnections(double factor, long seed) {
        OverloadedInstance instance = instance(0.38, seed);
        instance.loadOnNewConnections(FLOODING, factor * sustainablePerS(), 1_000, END_MS);
        instance.runUntil(BEGIN_MS);
        instance.resetCounts();
        instance.runUntil(END_MS);
        Map<String, Integer> served = instance.counts(FLOODING).servedByKind;
        int all = served.values().stream().mapToInt(Integer::intValue).sum();
        for (OverloadedInstance.Kind kind : OverloadedInstance.MIX) {
            assertTrue(served.getOrDefault(kind.name(), 0) >= 0.25 * all / 4, kind.name() + ", " + summary(instance));
        }
    }

    /**
     * Guards against an instance that is late and serves nearly nothing: of the part of the processor that is served
     * regardless, a flooding customer got the part of one of many customers, whether the others used theirs or not.
     */
    @Test
    void partThatIsServedWhileLateIsUsedByThoseWhoWait() {
        InstanceAdmission admission = InstanceAdmission.create(OverloadedInstance.MILLICORES);
        for (int i = 0; i < 30; i++) {
            admission.admit(request("ordinary-" + i, "report", 1_000), 1_000);
        }
        double servedUs = 0;
        for (long nowMs = 4_000; nowMs < 7_000; nowMs++) {
            if (FLOODING.equals(admission.chooseWaiting(List.of(FLOODING), 60, nowMs))) {
                servedUs += 650 * count(admission.admit(request(FLOODING.name(), "report", 1_000), nowMs));
            }
        }
        double millicores = servedUs / 3_000;
        assertTrue(millicores >= 0.25 * OverloadedInstance.MILLICORES, millicores + " millicores");
        assertEquals(
                CustomerId.of("ordinary-3"),
                admission.chooseWaiting(List.of(FLOODING, CustomerId.of("ordinary-3")), 60, 7_000));
    }

    /** Guards against state that grows with the names that callers send. */
    @Test
    void stateIsBounded() {
        InstanceAdmission admission = InstanceAdmission.create(OverloadedInstance.MILLICORES);
        Random random = new Random(7);
        long nowMs = 1_000;
        for (int i = 0; i < 50_000; i++) {
            nowMs += random.nextInt(3);
            String name = "c" + random.nextInt(2_000);
            admission.admit(request(name, "kind" + random.nextInt(100), random.nextInt(5_000)), nowMs);
            admission.lagSampled(random.nextInt(300), nowMs);
            admission.mayAccept(random.nextInt(60), nowMs);
            assertTrue(admission.headroomPercent(nowMs) >= 0 && admission.headroomPercent(nowMs) <= 100);
            assertTrue(admission.takeRejectedDemand(nowMs).size() <= RejectedTokens.MAX_REPORTED);
        }
        assertEquals(InstanceAdmission.MAX_CUSTOMERS, admission.customerCount());
    }

    /** Guards against an instance that is offered further callers while it rejects connections before it has read them. */
    @Test
    void instanceThatRejectsUnreadHasNoHeadroom() {
        InstanceAdmission admission = InstanceAdmission.create(OverloadedInstance.MILLICORES);
        assertEquals(100, admission.headroomPercent(2_000));
        admission.rejectedUnread(List.of(), 1, 2_000);
        assertEquals(100, admission.headroomPercent(2_000));
        admission.rejectedUnread(List.of(), 60, 2_100);
        assertTrue(admission.isRejecting(2_200));
        assertEquals(0, admission.headroomPercent(2_200));
        assertEquals(100, admission.headroomPercent(3_000));
    }

    /** Guards against callers of a flooding customer returning together, or when their time is nearly over. */
    @Test
    void rejectionsSpreadTheirRetriesAndAreReportedAsDemand() {
        InstanceAdmission admission = overloaded();
        assertEquals(0, admission.headroomPercent(2_000));
        Set<Long> delays = new HashSet<>();
        long rejectedTokens = 0;
        for (int i = 0; i < 1_000; i++) {
            AdmissionResult result = admission.admit(request("flooding", "report", 1_000), 2_000);
            if (result instanceof AdmissionResult.Rejected rejected) {
                delays.add(rejected.retryAfterMs());
                rejectedTokens += 1_000;
            }
        }
        assertTrue(delays.size() >= 8, "delays " + delays);
        assertTrue(delays.stream().allMatch(delay -> delay >= 100 && delay <= 1_500), "delays " + delays);
        List<CustomerTokens> reported = admission.takeRejectedDemand(2_000);
        assertEquals(1, reported.size());
        assertTrue(reported.get(0).tokens() >= rejectedTokens, "reported " + reported);
        assertEquals(List.of(), admission.takeRejectedDemand(2_100));
    }

    /** Guards against work for requests that will be late anyway while others of the customer could be in time. */
    @Test
    void requestsThatCannotBeInTimeAreNotPreferred() {
        InstanceAdmission admission = overloaded();
        int inTime = 0;
        int late = 0;
        for (long nowMs = 2_000; nowMs < 4_000; nowMs += 2) {
            inTime += count(admission.admit(request("flooding", "report", 1_000, 500), nowMs));
            late += count(admission.admit(request("flooding", "report", 1_000, 20), nowMs));
            admission.lagSampled(50, nowMs);
        }
        assertTrue(inTime > 3 * late && late > 0, inTime + " in time, " + late + " late");
    }

    /** Guards against rejecting callers of ordinary customers beside a flooding one. */
    @Test
    void customersWithinTheirShareAreAdmitted() {
        InstanceAdmission admission = overloaded();
        for (long nowMs = 2_000; nowMs < 3_000; nowMs++) {
            count(admission.admit(request("flooding", "report", 1_000), nowMs));
            if (nowMs % 50 == 0) {
                assertEquals(1, count(admission.admit(request("ordinary", "chat", 100), nowMs)));
            }
            admission.lagSampled(80, nowMs);
        }
    }

    /** An instance that a customer floods and that has lagged for some samples. */
    private static InstanceAdmission overloaded() {
        InstanceAdmission admission = InstanceAdmission.create(OverloadedInstance.MILLICORES);
        for (long nowMs = 1_000; nowMs < 2_000; nowMs++) {
            admission.admit(request("flooding", "report", 1_000), nowMs);
            admission.lagSampled(100, nowMs);
        }
        assertTrue(admission.isShedding());
        return admission;
    }

    private static int count(AdmissionResult result) {
        return result instanceof AdmissionResult.Admitted ? 1 : 0;
    }

    private static AdmissionRequest request(String customer, String kind, long tokens) {
        return request(customer, kind, tokens, 800);
    }

    private static AdmissionRequest request(String customer, String kind, long tokens, long objectiveLeftMs) {
        return new AdmissionRequest(
                CustomerId.of(customer), PoolId.of("pool"), kind, tokens, 650, objectiveLeftMs, 6_000);
    }

    private static OverloadedInstance instance(double rejectCoreMs, long seed) {
        InstanceAdmission admission = InstanceAdmission.create(OverloadedInstance.MILLICORES);
        return new OverloadedInstance(OverloadedInstance.ruleOf(admission), rejectCoreMs, seed);
    }
}
