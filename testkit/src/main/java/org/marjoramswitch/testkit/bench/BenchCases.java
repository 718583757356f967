package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.marjoramswitch.testkit.bench.BenchCase.Fault;
import org.marjoramswitch.testkit.bench.CustomerLoad.Group;

/** Defines the benchmark cases of a shape: 16 customers, four of them large, spread unevenly over the entries. */
final class BenchCases {
    static final int[] CELL_SIZES = {1, 2, 4, 8};
    static final int[] SCALES = {9, 40, 120, 350};

    private static final int CUSTOMERS = 16;
    private static final int LARGE = 4;
    private static final int LARGE_OUTSTANDING = 64;
    private static final int SMALL_OUTSTANDING = 24;
    private static final double LIGHT_LOAD = 0.7;
    private static final double LARGE_SHARE_OF_LIGHT = 0.6;
    private static final double FLOOD_FACTOR = 100;
    private static final double FLOODED_LARGE_SHARE = 0.08;
    private static final double FLOODED_SMALL_SHARE = 0.025;
    private static final double SERVICE_REQUESTS_PER_S = 5;
    private static final double SERVICE_MEAN_MS = 30;
    private static final long FAULT_EVERY_MS = 10_000;
    private static final long PARTITION_AT_MS = 8_000;
    private static final long PARTITION_MS = 6_000;
    private static final int ENTRIES_PER_CUSTOMER = 3;
    private static final int CUSTOMERS_PER_BACKLOGGED = 10;
    private static final double SCALE_OPEN_LOAD = 0.6;

    private BenchCases() {}

    /** Every customer is always backlogged. */
    static BenchCase steady(BenchShape shape) {
        return BenchCase.of("steady", shape, withServices(shape, backlogged(shape, false)));
    }

    /** As {@link #steady}, but all large customers use two entries and each small one uses one of the others. */
    static BenchCase uneven(BenchShape shape) {
        return BenchCase.of("uneven", shape, withServices(shape, backlogged(shape, true)));
    }

    /** The demand is 70% of the capacity, most of it from the large customers. */
    static BenchCase light(BenchShape shape) {
        double requestsPerS = LIGHT_LOAD * shape.tokensPerS() / CustomerLoad.MEAN_TOKENS;
        double largeEach = requestsPerS * LARGE_SHARE_OF_LIGHT / LARGE;
        double smallEach = requestsPerS * (1 - LARGE_SHARE_OF_LIGHT) / (CUSTOMERS - LARGE);
        return BenchCase.of("light", shape, withServices(shape, open(shape, CUSTOMERS, largeEach, smallEach)));
    }

    /** 15 customers demand about 60% of the capacity, and the last one demands 100 times its share. */
    static BenchCase flood(BenchShape shape) {
        List<CustomerLoad> loads = new ArrayList<>(flooded(shape));
        double shareRequestsPerS = shape.tokensPerS() / CustomerLoad.MEAN_TOKENS / CUSTOMERS;
        List<Integer> everywhere = IntStream.range(0, shape.instances()).boxed().toList();
        loads.add(CustomerLoad.open("flood", 0, everywhere, FLOOD_FACTOR * shareRequestsPerS, Group.FLOODING));
        return BenchCase.of("flood", shape, loads);
    }

    /** As {@link #flood}, without the flooding customer. */
    static BenchCase withoutFlood(BenchShape shape) {
        return BenchCase.of("flood_absent", shape, flooded(shape));
    }

    static BenchCase arbiterKilled(BenchShape shape) {
        return steady(shape).named("arbiter_killed").withArbiter(Fault.KILLED, FAULT_EVERY_MS);
    }

    static BenchCase arbiterPaused(BenchShape shape) {
        return steady(shape).named("arbiter_paused").withArbiter(Fault.PAUSED, FAULT_EVERY_MS);
    }

    static BenchCase arbiterLeaving(BenchShape shape) {
        return steady(shape).named("arbiter_leaving").withArbiter(Fault.LEAVING, FAULT_EVERY_MS);
    }

    /** The fleet is partitioned into four and five instances; both sides can reach every target. */
    static BenchCase partition(BenchShape shape) {
        return steady(shape).named("partition").partitioned(PARTITION_AT_MS, PARTITION_MS);
    }

    /**
     * Constant load per instance: a tenth of the customers is backlogged, each of the others demands an equal part of
     * 60% of the capacity.
     */
    static BenchCase scale(int instances) {
        BenchShape shape = BenchShape.scaled(instances);
        int customers = CUSTOMERS * instances / BenchShape.THIES.instances();
        double openRequestsPerS = SCALE_OPEN_LOAD * shape.tokensPerS() / CustomerLoad.MEAN_TOKENS;
        Random random = new Random(instances);
        List<CustomerLoad> loads = new ArrayList<>();
        for (int customer = 0; customer < customers; customer++) {
            String name = "c" + customer;
            int pool = customer % shape.pools();
            List<Integer> entries =
                    random.ints(ENTRIES_PER_CUSTOMER, 0, instances).boxed().toList();
            if (customer / shape.pools() % CUSTOMERS_PER_BACKLOGGED == 0) {
                loads.add(CustomerLoad.closed(name, pool, entries, LARGE_OUTSTANDING, Group.LARGE));
            } else {
                loads.add(CustomerLoad.open(name, pool, entries, openRequestsPerS / customers, Group.SMALL));
            }
        }
        return BenchCase.of(shape.name(), shape, loads);
    }

    private static List<CustomerLoad> backlogged(BenchShape shape, boolean uneven) {
        List<CustomerLoad> loads = new ArrayList<>();
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            boolean large = customer < LARGE;
            List<Integer> entries = uneven ? fewEntries(shape, customer) : someEntries(shape, customer);
            loads.add(CustomerLoad.closed(
                    "c" + customer,
                    0,
                    entries,
                    large ? LARGE_OUTSTANDING : SMALL_OUTSTANDING,
                    large ? Group.LARGE : Group.SMALL));
        }
        return loads;
    }

    private static List<CustomerLoad> flooded(BenchShape shape) {
        double requestsPerS = shape.tokensPerS() / CustomerLoad.MEAN_TOKENS;
        return open(shape, CUSTOMERS - 1, FLOODED_LARGE_SHARE * requestsPerS, FLOODED_SMALL_SHARE * requestsPerS);
    }

    private static List<CustomerLoad> open(
            BenchShape shape, int customers, double largeRequestsPerS, double smallRequestsPerS) {
        List<CustomerLoad> loads = new ArrayList<>();
        for (int customer = 0; customer < customers; customer++) {
            boolean large = customer < LARGE;
            loads.add(CustomerLoad.open(
                    "c" + customer,
                    0,
                    someEntries(shape, customer),
                    large ? largeRequestsPerS : smallRequestsPerS,
                    large ? Group.LARGE : Group.SMALL));
        }
        return loads;
    }

    private static List<CustomerLoad> withServices(BenchShape shape, List<CustomerLoad> models) {
        List<CustomerLoad> loads = new ArrayList<>(models);
        for (int service = 0; service < shape.services(); service++) {
            loads.add(CustomerLoad.open(
                            "c" + service,
                            shape.pools(),
                            someEntries(shape, service),
                            SERVICE_REQUESTS_PER_S,
                            Group.SERVICE)
                    .withMeanTokens(SERVICE_MEAN_MS));
        }
        return loads;
    }

    private static List<Integer> someEntries(BenchShape shape, int customer) {
        int instances = shape.instances();
        return List.of(customer % instances, (customer + 1) % instances, customer * customer % instances);
    }

    private static List<Integer> fewEntries(BenchShape shape, int customer) {
        return List.of(customer < LARGE ? customer % 2 : 2 + customer % (shape.instances() - 2));
    }
}
