package org.marjoramswitch.daemon.platform;

import java.util.Map;
import java.util.Set;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Snapshot of the platform's list, which lags behind the state that it describes.
 *
 * @param leavingTargets targets listed as draining; a target that is not listed is not part of the fleet
 * @param crashes crashes of targets under requests, written by the instances themselves
 */
public record FleetList(
        Map<InstanceId, ListedInstance> instances, Set<TargetId> leavingTargets, Set<ListedCrash> crashes) {
    /** Prefix of all keys of the list. */
    public static final String PREFIX = "list/";
    /** Prefix of keys that end with a request's digest in hex. */
    public static final String CRASHES_PREFIX = PREFIX + "crashes/";

    public static FleetList of(
            Map<InstanceId, ListedInstance> instances, Set<TargetId> leavingTargets, Set<ListedCrash> crashes) {
        return new FleetList(Map.copyOf(instances), Set.copyOf(leavingTargets), Set.copyOf(crashes));
    }

    public static FleetList empty() {
        return new FleetList(Map.of(), Set.of(), Set.of());
    }

    /**
     * Crash of a target while it ran a request.
     *
     * @param digest see {@link org.marjoramswitch.kernel.model.RequestSpec#digest}
     * @param crashedAtMs wall-clock time of the instance that wrote it
     */
    public record ListedCrash(long digest, TargetId target, long crashedAtMs) {}

    /**
     * A listed instance.
     *
     * @param callers the address to which callers connect
     * @param peers the address to which peers connect
     * @param leaving whether the platform is about to remove the instance
     * @param incarnation of the process that wrote the entry; 0 if the entry does not state it
     */
    public record ListedInstance(
            HostPort callers, HostPort peers, DataCentreId dataCentre, boolean leaving, long incarnation) {
        /** An instance whose entry does not state its incarnation. */
        public static ListedInstance of(HostPort callers, HostPort peers, DataCentreId dataCentre, boolean leaving) {
            return new ListedInstance(callers, peers, dataCentre, leaving, 0);
        }
    }
}
