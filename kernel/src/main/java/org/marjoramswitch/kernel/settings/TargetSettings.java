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
 */
public record TargetSettings(
        TargetId id,
        PoolId pool,
        String host,
        int port,
        DataCentreId dataCentre,
        int slots,
        boolean checksFencing,
        EngineMemory memory) {
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
        return new TargetSettings(id, pool, host, port, dataCentre, slots, checksFencing, newMemory);
    }
}
