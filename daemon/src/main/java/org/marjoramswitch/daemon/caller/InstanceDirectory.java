package org.marjoramswitch.daemon.caller;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/** What the callers' side knows of the fleet's instances. Called by the server's threads, never blocks. */
public interface InstanceDirectory {
    /** The instances that new callers may use now, in any order. */
    List<Entry> eligible();

    /**
     * How many instances' worth of work the customer brings, 1 or less for one that a single instance carries; the
     * address answer names that many instances in turn.
     */
    double loadFactor(CustomerId customer);

    /** Where callers reach an instance that is in the view, also one that is leaving; null for any other. */
    @Nullable
    HostPort address(InstanceId instance);

    /** An instance, its incarnation and where callers connect to it. */
    record Entry(InstanceId instance, long incarnation, HostPort address) {}
}
