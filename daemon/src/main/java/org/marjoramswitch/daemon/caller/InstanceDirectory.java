package org.marjoramswitch.daemon.caller;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/** Directory of the fleet's instances for the caller-facing server. Thread-safe; never blocks. */
public interface InstanceDirectory {
    /** Returns the instances that currently accept new callers, in any order. */
    List<Entry> eligible();

    /**
     * Returns how many instances the customer's load needs; at most 1 if a single instance can serve it. The address
     * response lists that many instances in round-robin order.
     */
    double loadFactor(CustomerId customer);

    /** Returns the address for callers of an instance in the view, draining or not; null for any other instance. */
    @Nullable
    HostPort address(InstanceId instance);

    /** An instance, its incarnation and its address for callers. */
    record Entry(InstanceId instance, long incarnation, HostPort address) {}
}
