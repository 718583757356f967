package org.marjoramswitch.daemon.platform;

import java.util.Map;
import java.util.Set;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * The platform's list as it was last read; it lags behind what it lists.
 *
 * @param leavingTargets the targets that the list names as leaving; one that it does not name is no target of the fleet
 * @param crashes targets that ended under requests, written by the instances themselves
 */
public record FleetList(
        Map<InstanceId, ListedInstance> instances, Set<TargetId> leavingTargets, Set<ListedCrash> crashes) {
    /** Of keys that end in a request's digest, in hex. */
    public static final String CRASHES_PREFIX = "list/crashes/";

    public static FleetList of(
            Map<InstanceId, ListedInstance> instances, Set<TargetId> leavingTargets, Set<ListedCrash> crashes) {
        return new FleetList(Map.copyOf(instances), Set.copyOf(leavingTargets), Set.copyOf(crashes));
    }

    public static FleetList empty() {
        return new FleetList(Map.of(), Set.of(), Set.of());
    }

    /**
     * A target that ended while it ran a request.
     *
     * @param digest see {@link org.marjoramswitch.kernel.model.RequestSpec#digest}
     * @param endedAtMs by the time of day of the instance that wrote it
     */
    public record ListedCrash(long digest, TargetId target, long endedAtMs) {}

    /**
     * One listed instance.
     *
     * @param callers where callers connect
     * @param peers where peers connect
     * @param leaving whether the platform is about to take the instance away
     */
    public record ListedInstance(HostPort callers, HostPort peers, DataCentreId dataCentre, boolean leaving) {}
}
