package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/** Counts claims by result, and records the sizes of their groups. */
final class ClaimMetrics {
    private final Meter claimed;
    private final Meter held;
    private final Meter notClaimed;
    private final Meter overflowed;
    private final Meter uncertainGroups;
    private final Meter released;
    private final Histogram groupSizes;

    private ClaimMetrics(MetricRegistry registry) {
        this.claimed = registry.meter("platform.claims.claimed");
        this.held = registry.meter("platform.claims.held");
        this.notClaimed = registry.meter("platform.claims.not-claimed");
        this.overflowed = registry.meter("platform.claims.overflowed");
        this.uncertainGroups = registry.meter("platform.claims.uncertain-groups");
        this.released = registry.meter("platform.claims.taken-back");
        this.groupSizes = registry.histogram("platform.claims.group-size");
    }

    static ClaimMetrics in(MetricRegistry registry) {
        return new ClaimMetrics(registry);
    }

    void completed(ClaimResult result) {
        if (result instanceof ClaimResult.Claimed) {
            claimed.mark();
        } else if (result instanceof ClaimResult.HeldBy) {
            held.mark();
        } else {
            notClaimed.mark();
        }
    }

    void overflowed() {
        overflowed.mark();
    }

    void groupWritten(int claims) {
        groupSizes.update(claims);
    }

    void groupUncertain() {
        uncertainGroups.mark();
    }

    void released() {
        released.mark();
    }
}
