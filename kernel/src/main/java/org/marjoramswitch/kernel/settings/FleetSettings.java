package org.marjoramswitch.kernel.settings;

import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/** An accepted generation of the settings, merged from all teams and validated. Maps are sorted by name. */
public record FleetSettings(
        long generation,
        Map<CustomerId, CustomerSettings> customers,
        Map<PoolId, PoolSettings> pools,
        Map<TargetId, TargetSettings> targets) {
    public static final FleetSettings NONE = new FleetSettings(0, Map.of(), Map.of(), Map.of());

    public static FleetSettings of(
            long generation,
            Map<CustomerId, CustomerSettings> customers,
            Map<PoolId, PoolSettings> pools,
            Map<TargetId, TargetSettings> targets) {
        return new FleetSettings(
                generation,
                java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(customers)),
                java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(pools)),
                java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(targets)));
    }
}
