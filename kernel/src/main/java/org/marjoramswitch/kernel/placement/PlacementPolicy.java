package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * Selects the mechanisms that place requests.
 *
 * @param mechanisms the enabled mechanisms
 */
public record PlacementPolicy(Set<Mechanism> mechanisms) {
    private static final PlacementPolicy FULL = new PlacementPolicy(EnumSet.allOf(Mechanism.class));

    public PlacementPolicy {
        mechanisms = Collections.unmodifiableSet(mechanisms);
    }

    public static PlacementPolicy full() {
        return FULL;
    }

    /** A policy with all mechanisms except these. */
    public static PlacementPolicy without(Collection<Mechanism> switchedOff) {
        EnumSet<Mechanism> enabled = EnumSet.allOf(Mechanism.class);
        enabled.removeAll(switchedOff);
        return new PlacementPolicy(enabled);
    }

    public boolean has(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }
}
