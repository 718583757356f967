package org.marjoramswitch.kernel.settings;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Settings of a target.
 *
 * @param host an IP address
 * @param slots concurrent requests, used until the target reports its own limit
 * @param checksFencing whether the target rejects orders with an outdated fencing number
 * @param memory memory of a model engine
 * @param startedAtMs start time of the target process by its own clock, 0 if unknown. A target that restarts under the
 *     same name is a new one, without cached prompts or running requests.
 * @param coldStart the target's current or last cold start
 * @param softwareVersion the version of the target's software; a stream that one version began cannot be continued by
 *     another. Empty if unknown.
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
        long startedAtMs,
        ColdStart coldStart,
        String softwareVersion) {
    /** Creates settings of a warm target with an unknown start time. */
    public TargetSettings(
            TargetId id,
            PoolId pool,
            String host,
            int port,
            DataCentreId dataCentre,
            int slots,
            boolean checksFencing,
            EngineMemory memory) {
        this(id, pool, host, port, dataCentre, slots, checksFencing, memory, 0, ColdStart.NONE, "");
    }

    /** Creates settings of a target with unknown memory. */
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
        return new TargetSettings(
                id,
                pool,
                host,
                port,
                dataCentre,
                slots,
                checksFencing,
                newMemory,
                startedAtMs,
                coldStart,
                softwareVersion);
    }

    public TargetSettings withStart(long newStartedAtMs) {
        return new TargetSettings(
                id,
                pool,
                host,
                port,
                dataCentre,
                slots,
                checksFencing,
                memory,
                newStartedAtMs,
                coldStart,
                softwareVersion);
    }

    public TargetSettings withColdStart(ColdStart newColdStart) {
        return new TargetSettings(
                id,
                pool,
                host,
                port,
                dataCentre,
                slots,
                checksFencing,
                memory,
                startedAtMs,
                newColdStart,
                softwareVersion);
    }

    public TargetSettings withSoftwareVersion(String newSoftwareVersion) {
        return new TargetSettings(
                id,
                pool,
                host,
                port,
                dataCentre,
                slots,
                checksFencing,
                memory,
                startedAtMs,
                coldStart,
                newSoftwareVersion);
    }
}
