package org.marjoramswitch.daemon.membership;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.marjoramswitch.kernel.membership.MembershipAction.Change;
import org.marjoramswitch.kernel.wire.WireFault;

/** Metrics of the membership loop: {@code membership.*}. */
final class MembershipMetrics {
    final Meter bytesIn;
    final Meter bytesOut;
    final Counter datagramsIn;
    final Counter datagramsOut;
    final Counter datagramsNotSent;
    final Counter hintsDropped;

    private final MetricRegistry registry;
    private volatile int members = 1;
    private volatile int headroomPercent = 100;

    private MembershipMetrics(MetricRegistry registry) {
        this.registry = registry;
        bytesIn = registry.meter("membership.bytes_in");
        bytesOut = registry.meter("membership.bytes_out");
        datagramsIn = registry.counter("membership.datagrams_in");
        datagramsOut = registry.counter("membership.datagrams_out");
        datagramsNotSent = registry.counter("membership.datagrams_not_sent");
        hintsDropped = registry.counter("membership.hints_dropped");
        registry.gauge("membership.members", () -> () -> members);
        registry.gauge("membership.headroom_percent", () -> () -> headroomPercent);
    }

    static MembershipMetrics create(MetricRegistry registry) {
        return new MembershipMetrics(registry);
    }

    void setMembers(int present) {
        members = present;
    }

    void setHeadroom(int percent) {
        headroomPercent = percent;
    }

    void countChange(Change change) {
        registry.counter("membership.changes." + change.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    void countMalformed(WireFault fault) {
        registry.counter("membership.malformed." + fault.name().toLowerCase(Locale.ROOT))
                .inc();
    }
}
