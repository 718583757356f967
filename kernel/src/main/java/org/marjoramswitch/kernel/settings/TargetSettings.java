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
 * @param memoryTokens how many tokens a model engine's running requests and kept prompts may take; 0 where not known
 */
public record TargetSettings(
        TargetId id,
        PoolId pool,
        String host,
        int port,
        DataCentreId dataCentre,
        int slots,
        boolean checksFencing,
        long memoryTokens) {
    /** A target of which the memory is not known. */
    public TargetSettings(
            TargetId id,
            PoolId pool,
            String host,
            int port,
            DataCentreId dataCentre,
            int slots,
            boolean checksFencing) {
        this(id, pool, host, port, dataCentre, slots, checksFencing, 0);
    }

    public TargetSettings withMemoryTokens(long tokens) {
        return new TargetSettings(id, pool, host, port, dataCentre, slots, checksFencing, tokens);
    }
}
