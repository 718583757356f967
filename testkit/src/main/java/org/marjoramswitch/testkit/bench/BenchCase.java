package org.marjoramswitch.testkit.bench;

import java.util.List;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * A benchmark case.
 *
 * @param cellTargets cell size setting of the pools
 * @param fault fault injected into the arbiter of the first cell
 * @param faultEveryMs interval between faults; 0 for none
 * @param partitionAtMs time at which the fleet is partitioned into two halves; 0 for never
 * @param partitionMs duration of the partition
 */
record BenchCase(
        String name,
        BenchShape shape,
        List<CustomerLoad> loads,
        int cellTargets,
        Fault fault,
        long faultEveryMs,
        long partitionAtMs,
        long partitionMs) {
    static BenchCase of(String name, BenchShape shape, List<CustomerLoad> loads) {
        int cellTargets = PoolSettings.DEFAULT_CELL_TARGETS;
        return new BenchCase(name, shape, loads, cellTargets, Fault.KILLED, 0, 0, 0);
    }

    BenchCase named(String newName) {
        return new BenchCase(newName, shape, loads, cellTargets, fault, faultEveryMs, partitionAtMs, partitionMs);
    }

    BenchCase withCellTargets(int targets) {
        return new BenchCase(name, shape, loads, targets, fault, faultEveryMs, partitionAtMs, partitionMs);
    }

    BenchCase withArbiter(Fault newFault, long everyMs) {
        return new BenchCase(name, shape, loads, cellTargets, newFault, everyMs, partitionAtMs, partitionMs);
    }

    BenchCase partitioned(long atMs, long forMs) {
        return new BenchCase(name, shape, loads, cellTargets, fault, faultEveryMs, atMs, forMs);
    }

    /** Fault of an instance. */
    enum Fault {
        /** The instance crashes without notice, loses all state and restarts later. */
        KILLED,
        /** The process is suspended until after the others consider it dead, then continues with its old state. */
        PAUSED,
        /** The instance shuts down gracefully, completes its callers' requests and is replaced. */
        LEAVING
    }
}
