package org.marjoramswitch.testkit.bench;

/**
 * Size of a simulated deployment. Instances and targets are assigned to the data centres round-robin.
 *
 * @param pools number of model pools; the replicas are assigned to them round-robin
 * @param stepUs duration of an engine step, which generates one token for each request in the batch
 */
public record BenchShape(
        String name,
        int instances,
        int dataCentres,
        int pools,
        int replicas,
        int replicaSlots,
        long stepUs,
        int services,
        int serviceSlots) {
    static final BenchShape THIES = new BenchShape("thies", 9, 3, 1, 8, 16, 4_000, 3, 16);
    static final BenchShape LEITH = new BenchShape("leith", 9, 3, 1, 6, 16, 4_000, 3, 16);
    private static final long BETWEEN_DATA_CENTRES_US = 1_500;
    private static final long INSIDE_DATA_CENTRE_US = 100;
    private static final int MAX_REPLICAS_PER_POOL = 28;

    /**
     * Scales {@link #THIES} to the number of instances at the same replicas per instance, with at most 28 replicas per
     * pool.
     */
    static BenchShape scaled(int instances) {
        int replicas = Math.max(1, instances * THIES.replicas / THIES.instances);
        int pools = (replicas + MAX_REPLICAS_PER_POOL - 1) / MAX_REPLICAS_PER_POOL;
        return new BenchShape("scale" + instances, instances, 3, pools, replicas, 16, 4_000, 0, 0);
    }

    long oneWayUs(int dataCentre, int otherDataCentre) {
        return dataCentre == otherDataCentre ? INSIDE_DATA_CENTRE_US : BETWEEN_DATA_CENTRES_US;
    }

    int dataCentreOf(int index) {
        return index % dataCentres;
    }

    /** Returns the output tokens per second of all replicas when no slot is idle. */
    double tokensPerS() {
        return replicas * replicaSlots * (double) VirtualClock.US_PER_S / stepUs;
    }
}
