package org.marjoramswitch.kernel.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Admits or rejects the requests of an instance whose processor may be overloaded.
 *
 * <p>While the instance keeps up, every request is admitted. Once it lags, {@link ProcessorLimits} sets how much work it
 * admits. The customers share this work by max-min: one that offers less than an equal part is admitted completely, and
 * the others get equal parts of what is left. A flooding customer therefore costs its neighbours nothing. {@link
 * CustomerDemand} selects the requests of a customer above its share.
 *
 * <p>The shares are computed once per sample of the lag from averages of a quarter of a second, so that a request costs a
 * few operations. A token bucket for each kind holds the admitted work to its share between two samples.
 *
 * <p>Rejections cost processor time as well. {@link #mayAccept} tells the server to accept no further connections while
 * rejections exceed their limit; the connections wait in the listen queue, where they cost nothing.
 *
 * <p>Odd cases: a customer that has just begun to flood counts as within its share until the next sample. After a flood
 * the averages decay within a second, so that all requests are admitted before the limits end. State is bounded to
 * {@link #MAX_CUSTOMERS} customers, the least recently seen of which is forgotten first.
 *
 * <p>Cost: constant per request, and per sample n log n in the customers while the instance lags. Not thread-safe.
 */
public final class InstanceAdmission {
    static final int MAX_CUSTOMERS = 256;
    /** Samples of several threads within this time count as one, so that a pause of the process is one late sample. */
    private static final long SAMPLE_MS = 20;
    /** Short, because another instance can accept the request immediately. */
    private static final long NEAR_SHARE_RETRY_AFTER_MS = 100;
    /** As in {@link org.marjoramswitch.kernel.placement.RetryAfterPolicy}: overload lasts for seconds. */
    private static final int RETRY_DIVISOR = 4;

    private static final int RETRY_STEPS = 16;

    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 4_000;
    /** Above the lag at which the limits are reduced, so that these decide while they can. */
    private static final long MAX_ACCEPT_LAG_MS = 40;

    /** Unread rejections of a short pause decay below this within a second; a lasting overload causes hundreds a second. */
    private static final double MIN_UNREAD_PER_MS = 0.02;

    private static final double REJECTION_BURST_MS = 20;
    /** Part of the processor that customers with waiting connections share although the instance is late. */
    private static final double MIN_SHARE = 0.25;
    /** Threads that are later than this would not take the connection before it is rejected. */
    private static final long MAX_MIN_SHARE_LAG_MS = 100;

    private static final CustomerId UNKNOWN_CUSTOMER = CustomerId.of("-");
    private static final int FULL_PERCENT = 100;
    private static final float LOAD_FACTOR = 0.75f;
    private static final AdmissionResult ADMITTED = new AdmissionResult.Admitted();

    private final int processorMillicores;
    private final ProcessorLimits limits;
    private final Map<CustomerId, CustomerDemand> customers = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private final RejectedTokens rejectedTokens = new RejectedTokens();
    private final DecayingRate offered = DecayingRate.create();
    private final DecayingRate rejectedUnread = DecayingRate.create();
    private final RecentRequests recentRequests = new RecentRequests();
    private final LoadReport loadReport = new LoadReport();
    private long sampleBeganAtMs;
    private long sampledLagMs;
    private long rejections;
    private double rejectionBucket;
    private long rejectionsFilledAtMs;

    private InstanceAdmission(int processorMillicores) {
        this.processorMillicores = processorMillicores;
        this.limits = new ProcessorLimits(processorMillicores);
    }

    /** @param processorMillicores the instance's processor limit in thousandths of a core */
    public static InstanceAdmission create(int processorMillicores) {
        return new InstanceAdmission(processorMillicores);
    }

    /** Decides about a request before its body is read. */
    public AdmissionResult admit(AdmissionRequest request, long nowMs) {
        CustomerDemand customer = demandOf(request.customer());
        double tokens = customer.tokensOf(request);
        double workUs = customer.workUsOf(request);
        customer.recordMeans(tokens, workUs);
        customer.received(nowMs);
        KindDemand kind = customer.kind(request.kind(), request.objectiveLeftMs() <= limits.lastLagMs());
        kind.record(tokens, workUs, nowMs);
        offered.add(workUs, nowMs);
        recentRequests.add(request.pool(), request.customer(), tokens, nowMs);
        if (!limits.isActive() || !customer.isAboveShare() || kind.take(workUs, nowMs)) {
            customer.admitted(workUs, nowMs);
            loadReport.admitted(request.customer(), tokens);
            return ADMITTED;
        }
        loadReport.rejected(request.customer(), tokens);
        rejections++;
        fillRejections(nowMs);
        rejectionBucket = Math.max(-rejectionBurst(), rejectionBucket - 1);
        rejectedTokens.add(request.pool(), request.customer(), tokens);
        boolean farAboveShare = customer.isFarAboveShare();
        return new AdmissionResult.Rejected(farAboveShare ? spreadRetryAfterMs(request) : NEAR_SHARE_RETRY_AFTER_MS);
    }

    /**
     * Counts requests that were rejected before they were read as rejected demand.
     *
     * @param unknown number of requests whose head is not known; their customers and tokens are estimated
     */
    public void rejectedUnread(Collection<UnreadDemand> known, long unknown, long nowMs) {
        rejectedUnread.add(unknown, nowMs);
        recentRequests.distribute(unknown, nowMs, rejectedTokens);
        for (UnreadDemand demand : known) {
            double tokens = demand.tokens();
            if (demand.unsized() > 0) {
                tokens += demand.unsized() * demandOf(demand.customer()).meanTokens();
            }
            rejectedUnread.add(demand.requests(), nowMs);
            rejectedTokens.add(demand.pool(), demand.customer(), tokens);
            loadReport.rejectedUnread(demand.customer(), demand.requests(), tokens);
        }
    }

    /**
     * Selects the customer of which a waiting connection is served next: the one that was admitted the least work. Customers
     * whose callers open a connection for each request thus have the same shares as those that keep theirs. While the
     * instance may not accept connections, as after a flood of them, only a customer within its minimum share is selected, and
     * none while the threads are too late to take the connection in time.
     *
     * @param customers those with waiting connections; if empty, their customers are not known
     * @param lagMs the present delay of the threads that serve connections
     * @return null if no connection may be served now
     */
    public @Nullable CustomerId chooseWaiting(Collection<CustomerId> customers, long lagMs, long nowMs) {
        boolean accepts = mayAccept(lagMs, nowMs);
        if (customers.isEmpty()) {
            return accepts ? UNKNOWN_CUSTOMER : null;
        }
        CustomerId least = customers.iterator().next();
        double leastMillicores = Double.POSITIVE_INFINITY;
        for (CustomerId customer : customers) {
            double millicores = demandOf(customer).servedMillicores(nowMs);
            if (millicores < leastMillicores) {
                least = customer;
                leastMillicores = millicores;
            }
        }
        if (!accepts && (lagMs >= MAX_MIN_SHARE_LAG_MS || !isWithinMinShare(leastMillicores, nowMs))) {
            return null;
        }
        demandOf(least).expect(nowMs);
        return least;
    }

    /**
     * Whether a customer that was served this much is within its max-min share of the work that is admitted while the instance
     * is late: what others do not use is shared by those who wait.
     */
    private boolean isWithinMinShare(double servedMillicores, long nowMs) {
        double upToThis = 0;
        for (CustomerDemand customer : customers.values()) {
            upToThis += Math.min(servedMillicores, customer.servedMillicores(nowMs));
        }
        return upToThis < MIN_SHARE * processorMillicores;
    }

    /** Returns what became of the largest customers' requests, once a second while any are rejected. */
    public List<CustomerLoad> takeLoads(long nowMs) {
        return loadReport.takeDue(nowMs);
    }

    private CustomerDemand demandOf(CustomerId id) {
        CustomerDemand customer = customers.computeIfAbsent(id, missing -> new CustomerDemand());
        if (customers.size() > MAX_CUSTOMERS) {
            customers.remove(customers.keySet().iterator().next());
        }
        return customer;
    }

    /**
     * The callers of a customer far above its share come back to this instance, so they return spread over the second half of
     * a quarter of their remaining time.
     */
    private long spreadRetryAfterMs(AdmissionRequest request) {
        long quarterMs = Math.min(MAX_RETRY_AFTER_MS, request.timeoutLeftMs() / RETRY_DIVISOR);
        long step = rejections % RETRY_STEPS;
        return Math.max(MIN_RETRY_AFTER_MS, quarterMs / 2 + quarterMs * step / (2 * RETRY_STEPS));
    }

    /**
     * Records a sample of the lag.
     *
     * @param lagMs delay of a timer or event of any of the instance's threads
     */
    public void lagSampled(long lagMs, long nowMs) {
        if (nowMs - sampleBeganAtMs < SAMPLE_MS) {
            sampledLagMs = Math.max(sampledLagMs, lagMs);
            return;
        }
        limits.sample(sampledLagMs, offered.perMs(nowMs), nowMs);
        sampleBeganAtMs = nowMs;
        sampledLagMs = lagMs;
        updateShares(nowMs);
    }

    /**
     * Records a timer that is overdue and has not fired yet, so that its lag will be longer. Less than the last sample says
     * nothing: after a pause of the process, the next timer waits for the backlog as well while the lag is falling.
     */
    public void lagAtLeast(long lagMs, long nowMs) {
        if (lagMs >= Math.max(limits.lastLagMs(), sampledLagMs)) {
            lagSampled(lagMs, nowMs);
        }
    }

    private void updateShares(long nowMs) {
        if (!limits.isActive()) {
            return;
        }
        record Offer(CustomerDemand customer, double millicores) {}
        List<Offer> ascending = new ArrayList<>();
        customers.values().forEach(customer -> ascending.add(new Offer(customer, customer.offeredMillicores(nowMs))));
        ascending.sort(Comparator.comparingDouble(Offer::millicores));
        double left = limits.admittedMillicores();
        int remaining = ascending.size();
        for (Offer offer : ascending) {
            double share = left / remaining;
            remaining--;
            left -= Math.min(share, offer.millicores());
            if (offer.millicores() <= share) {
                offer.customer().withinShare();
            } else {
                offer.customer().limit(share, offer.millicores(), nowMs);
            }
        }
    }

    /**
     * Whether the server may accept a connection now. A flood of connections can delay the threads before the lag is
     * sampled at all, so a high present lag stops accepting as well.
     *
     * @param lagMs the present delay of the threads that serve connections
     */
    public boolean mayAccept(long lagMs, long nowMs) {
        if (lagMs < MAX_ACCEPT_LAG_MS && !limits.isActive()) {
            return true;
        }
        fillRejections(nowMs);
        boolean accepts = lagMs < MAX_ACCEPT_LAG_MS && rejectionBucket > 0;
        if (!accepts) {
            limits.acceptsPaused(nowMs);
        }
        return accepts;
    }

    private void fillRejections(long nowMs) {
        double perMs = limits.rejectionsPerMs();
        double filled = rejectionBucket + perMs * Math.max(0, nowMs - rejectionsFilledAtMs);
        rejectionBucket = Math.min(rejectionBurst(), filled);
        rejectionsFilledAtMs = Math.max(rejectionsFilledAtMs, nowMs);
    }

    /** Bounds the bucket on both sides, so that rejections before a cut do not stop accepting for long after it. */
    private double rejectionBurst() {
        return Math.max(1, REJECTION_BURST_MS * limits.rejectionsPerMs());
    }

    /** Whether the instance is shedding a part of its load. */
    public boolean isShedding() {
        return limits.isActive();
    }

    /**
     * Whether requests are rejected, also unread. Connections that wait to be read keep the lag of the threads low, so
     * that the limits alone do not show the overload.
     */
    public boolean isRejecting(long nowMs) {
        return limits.isActive() || rejectedUnread.perMs(nowMs) >= MIN_UNREAD_PER_MS;
    }

    /** The work that is admitted, in thousandths of a core; the whole processor while nothing is rejected. */
    public long admittedMillicores() {
        return limits.isActive() ? Math.round(limits.admittedMillicores()) : processorMillicores;
    }

    /** The part of the processor that further requests could use: 0 while the instance rejects, up to 100. */
    public int headroomPercent(long nowMs) {
        if (isRejecting(nowMs)) {
            return 0;
        }
        double free = 1 - offered.perMs(nowMs) / processorMillicores;
        double onTime = 1 - (double) limits.lastLagMs() / ProcessorLimits.LATE_MS;
        long percent = Math.round(FULL_PERCENT * Math.min(free, onTime));
        // An instance that admits everything has some headroom, since the estimate of its work may be too high.
        return (int) Math.max(1, Math.min(FULL_PERCENT, percent));
    }

    /** Returns the tokens of rejected requests that are to be reported to the arbiters now, usually none. */
    public List<CustomerTokens> takeRejectedDemand(long nowMs) {
        return rejectedTokens.takeDue(nowMs);
    }

    int customerCount() {
        return customers.size();
    }
}
