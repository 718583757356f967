package org.marjoramswitch.kernel.settings;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A target.
 *
 * @param host an IP number
 * @param slots how many requests it may run at once, until its reports teach better
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param memory a model engine's
 * @param startedAtMs when this start of the target was, by its own clock; 0 where it does not tell. One that starts again
 *     under its name is new: it keeps nothing and runs nothing of before.
 */
public record TargetSettings(
        TargetId id,
        PoolId pool,
        String host,
        int port,
        DataCentreId dataCentre,
        int slots,
        boolean checksFencing,
        EngineMemory memory,
        long startedAtMs) {
    /** A target that does not tell when it started. */
    public TargetSettings(
            TargetId id,
            PoolId pool,
            String host,
            int port,
            DataCentreId dataCentre,
            int slots,
            boolean checksFencing,
            EngineMemory memory) {
        this(id, pool, host, port, dataCentre, slots, checksFencing, memory, 0);
    }

    /** A target of which the memory is not known. */
    public TargetSettings(
            TargetId id,
            PoolId pool,
            String host,
            int port,
            DataCentreId dataCentre,
            int slots,
            boolean checksFencing) {
        this(id, pool, host, port, dataCentre, slots, checksFencing, EngineMemory.UNKNOWN);
    }

    public TargetSettings withMemory(EngineMemory newMemory) {
        return new TargetSettings(id, pool, host, port, dataCentre, slots, checksFencing, newMemory, startedAtMs);
    }

    public TargetSettings withStart(long newStartedAtMs) {
        return new TargetSettings(id, pool, host, port, dataCentre, slots, checksFencing, memory, newStartedAtMs);
    }
}
