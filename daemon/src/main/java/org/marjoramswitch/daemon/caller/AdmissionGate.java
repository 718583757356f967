package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.admission.AdmissionResult;
import org.marjoramswitch.kernel.admission.CustomerLoad;
import org.marjoramswitch.kernel.admission.InstanceAdmission;
import org.marjoramswitch.kernel.admission.UnreadDemand;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Calls {@link InstanceAdmission} from the I/O threads, under one lock, and publishes its state. A request holds the lock
 * for a few operations, and a sample of the lag for the update of the shares.
 */
final class AdmissionGate implements LagProbe.Listener {
    private static final KeyValueLog LOG = KeyValueLog.of(AdmissionGate.class);

    /** Longer than a single delay that {@link PersistentLagDetector} ignores. */
    private static final long MAX_WAIT_MS = 200;
    /** While the overload is known, a wait only delays the retry; longer than the lag that stops accepts (40 ms). */
    private static final long MAX_WAIT_SHEDDING_MS = 100;

    private final InstanceAdmission admission;
    private final Consumer<List<CustomerTokens>> rejectedDemand;
    private final LongSupplier clockMs;
    private final Meter admitted;
    private final Meter rejected;
    private boolean wasShedding;
    private long shedSinceMs;
    private long rejectedBefore;

    private AdmissionGate(AdmissionOptions options, LongSupplier clockMs, MetricRegistry registry) {
        this.admission = InstanceAdmission.create(options.processorMillicores());
        this.rejectedDemand = options.rejectedDemand();
        this.clockMs = clockMs;
        this.admitted = registry.meter("admission.admitted");
        this.rejected = registry.meter("admission.rejected");
        Gauge<Long> limit = this::limitMillicores;
        registry.gauge("admission.limit_millicores", () -> limit);
        Gauge<Integer> headroom = this::headroomPercent;
        registry.gauge("admission.headroom_percent", () -> headroom);
    }

    static AdmissionGate create(AdmissionOptions options, LongSupplier clockMs, MetricRegistry registry) {
        return new AdmissionGate(options, clockMs, registry);
    }

    /** Decides about a request before its body is read. */
    AdmissionResult admit(AdmissionRequest request) {
        long nowMs = clockMs.getAsLong();
        AdmissionResult result;
        List<CustomerTokens> due;
        List<CustomerLoad> loads;
        synchronized (this) {
            result = admission.admit(request, nowMs);
            due = admission.takeRejectedDemand(nowMs);
            loads = admission.takeLoads(nowMs);
        }
        loads.forEach(AdmissionGate::log);
        if (result instanceof AdmissionResult.Rejected) {
            rejected.mark();
        } else {
            admitted.mark();
        }
        if (!due.isEmpty()) {
            rejectedDemand.accept(due);
        }
        return result;
    }

    /**
     * Reports requests that were rejected unread as demand.
     *
     * @param unknown number of requests whose head is not known
     */
    void rejectedUnread(Collection<UnreadDemand> known, long unknown) {
        long nowMs = clockMs.getAsLong();
        List<CustomerTokens> due;
        synchronized (this) {
            admission.rejectedUnread(known, unknown, nowMs);
            due = admission.takeRejectedDemand(nowMs);
        }
        if (!due.isEmpty()) {
            rejectedDemand.accept(due);
        }
    }

    @Override
    public synchronized void lagSampled(long lagMs) {
        long nowMs = clockMs.getAsLong();
        admission.lagSampled(lagMs, nowMs);
        logChange(lagMs, nowMs);
    }

    @Override
    public synchronized void lagAtLeast(long lagMs) {
        long nowMs = clockMs.getAsLong();
        admission.lagAtLeast(lagMs, nowMs);
        logChange(lagMs, nowMs);
    }

    private static void log(CustomerLoad load) {
        LOG.info(
                "customer_load",
                "customer",
                load.customer(),
                "admitted",
                load.admitted(),
                "admittedTokens",
                load.admittedTokens(),
                "rejected",
                load.rejected(),
                "rejectedTokens",
                load.rejectedTokens(),
                "unread",
                load.unread(),
                "unreadTokens",
                load.unreadTokens());
    }

    private void logChange(long lagMs, long nowMs) {
        if (wasShedding == admission.isShedding()) {
            return;
        }
        wasShedding = admission.isShedding();
        if (wasShedding) {
            shedSinceMs = nowMs;
            rejectedBefore = rejected.getCount();
            LOG.info("admission_limited", "lagMs", lagMs, "limitMillicores", admission.admittedMillicores());
        } else {
            LOG.info(
                    "admission_unlimited",
                    "limitedMs",
                    nowMs - shedSinceMs,
                    "rejected",
                    rejected.getCount() - rejectedBefore);
        }
    }

    /**
     * Selects the customer of which a waiting connection is served next, see {@link InstanceAdmission#chooseWaiting}.
     *
     * @param lagMs delay of the I/O threads
     */
    synchronized @Nullable CustomerId chooseWaiting(Collection<CustomerId> customers, long lagMs) {
        return admission.chooseWaiting(customers, lagMs, clockMs.getAsLong());
    }

    /** Whether a connection may be accepted while the I/O threads have this delay. */
    synchronized boolean mayAccept(long lagMs) {
        return admission.mayAccept(lagMs, clockMs.getAsLong());
    }

    /** How long a connection may wait unread before it is rejected. */
    synchronized long maxWaitMs() {
        return admission.isRejecting(clockMs.getAsLong()) ? MAX_WAIT_SHEDDING_MS : MAX_WAIT_MS;
    }

    /** See {@link InstanceAdmission#headroomPercent}. */
    synchronized int headroomPercent() {
        return admission.headroomPercent(clockMs.getAsLong());
    }

    private synchronized long limitMillicores() {
        return admission.admittedMillicores();
    }
}
