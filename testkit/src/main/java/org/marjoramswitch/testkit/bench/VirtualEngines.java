package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Simulated targets of a shape, by index: first the replicas, then the plain services, which form the last pool. */
final class VirtualEngines {
    private static final long SERVICE_STEP_US = 1_000;

    private final List<VirtualEngine> engines = new ArrayList<>();
    private final List<int[]> enginesByPool = new ArrayList<>();

    private VirtualEngines(BenchShape shape, VirtualClock clock, VirtualEngine.Listener listener) {
        for (int replica = 0; replica < shape.replicas(); replica++) {
            VirtualEngine.Size size = new VirtualEngine.Size(shape.replicaSlots(), shape.stepUs());
            int pool = replica % shape.pools();
            engines.add(VirtualEngine.create(replica, pool, shape.dataCentreOf(replica), size, clock, listener));
        }
        for (int service = 0; service < shape.services(); service++) {
            VirtualEngine.Size size = new VirtualEngine.Size(shape.serviceSlots(), SERVICE_STEP_US);
            int dataCentre = shape.dataCentreOf(service);
            engines.add(VirtualEngine.create(engines.size(), shape.pools(), dataCentre, size, clock, listener));
        }
        for (int pool = 0; pool <= shape.pools(); pool++) {
            int poolIndex = pool;
            enginesByPool.add(IntStream.range(0, engines.size())
                    .filter(engine -> engines.get(engine).pool == poolIndex)
                    .toArray());
        }
    }

    static VirtualEngines create(BenchShape shape, VirtualClock clock, VirtualEngine.Listener listener) {
        return new VirtualEngines(shape, clock, listener);
    }

    List<VirtualEngine> all() {
        return engines;
    }

    VirtualEngine get(int engine) {
        return engines.get(engine);
    }

    int pools() {
        return enginesByPool.size();
    }

    /** Returns the indexes of the pool's engines. */
    int[] ofPool(int pool) {
        return enginesByPool.get(pool);
    }

    int slotsOfPool(int pool) {
        return IntStream.of(ofPool(pool))
                .map(engine -> engines.get(engine).slots())
                .sum();
    }
}
