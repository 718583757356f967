package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Tracks the tokens that each customer asked for and was charged in the last seconds.
 *
 * <p>A customer that has used less than an even share may catch up by one, see {@link
 * org.marjoramswitch.kernel.fair.FairShares}. Without this credit, a customer below its share would be delayed by its own
 * bursts: each request would wait until all others had been charged as much as the one before it.
 *
 * <p>Shares by virtual counters hold among customers whose requests wait at the same moment. A customer whose requests
 * are rejected on arrival, because they are late, never waits and would get nothing as long as others' requests are in
 * time. Its service is therefore compared with its demand and with the customer served best, see {@link #isUnderserved}.
 *
 * <p>Cost: recording takes constant time, amortized; a comparison is linear in the customers of the last seconds. Not
 * thread-safe.
 */
final class FairShareEstimate {
    /** Customers receive their shares over a few seconds; up to half of that can be caught up at once. */
    private static final double WINDOW_MS = 2_000;
    /**
     * Minimum service relative to the customer's demand or to the customer served best. Above a half, since the average
     * lags behind the service.
     */
    private static final double MIN_RATIO = 0.6;

    private static final double FAR_ABOVE_RATIO = 1.5;
    /** Older averages have decayed to less than a hundredth. */
    private static final long UNUSED_KEPT_MS = 10_000;

    private static final float LOAD_FACTOR = 0.75f;

    /** In order of the last charge. */
    private final Map<CustomerId, Long> lastChargedAtMs = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    /** In order of the last request or charge. */
    private final Map<CustomerId, RecentService> byCustomer = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    private double windowTokens;
    private long updatedAtMs;

    /** Records the arrival of a request. */
    void recordDemand(CustomerId customer, double tokens, long nowMs) {
        RecentService service = use(customer, nowMs);
        service.askedTokens += tokens;
        service.largestTokens = Math.max(service.largestTokens, tokens);
    }

    /** Records demand that never arrived, since an entry instance rejected it. */
    void recordRejectedDemand(CustomerId customer, double tokens, long nowMs) {
        RecentService service = use(customer, nowMs);
        service.askedTokens += tokens;
        service.rejectedAtMs = nowMs;
    }

    /** Whether an entry instance has recently rejected demand of this customer. */
    boolean hasRejectedDemand(CustomerId customer, long nowMs) {
        return nowMs - use(customer, nowMs).rejectedAtMs <= WINDOW_MS;
    }

    void recordCharge(CustomerId customer, double tokens, double weight, long nowMs) {
        decay(nowMs);
        windowTokens += tokens;
        lastChargedAtMs.put(customer, nowMs);
        RecentService service = use(customer, nowMs);
        service.chargedTokens += tokens;
        service.weight = weight;
    }

    /** Reverses the charge of a request that was not run. */
    void refund(CustomerId customer, double tokens, long nowMs) {
        RecentService service = use(customer, nowMs);
        service.chargedTokens = Math.max(0, service.chargedTokens - tokens);
    }

    /** The tokens of an even share over the window. */
    double tokens(long nowMs) {
        decay(nowMs);
        return windowTokens / Math.max(1, lastChargedAtMs.size());
    }

    /** Whether the customer was charged considerably more than an even share, by weight. */
    boolean isFarAboveEvenShare(CustomerId customer, long nowMs) {
        RecentService own = use(customer, nowMs);
        return own.chargedTokens > FAR_ABOVE_RATIO * tokens(nowMs) * own.weight;
    }

    /**
     * Whether the customer got much less than it asked for and, by weight, than the customer served best. One request
     * more or less is not counted, which is all of the demand of many customers.
     */
    boolean isUnderserved(CustomerId customer, long nowMs) {
        RecentService own = use(customer, nowMs);
        removeUnused(nowMs);
        return own.isUnderserved(bestByWeight(nowMs), nowMs);
    }

    private double bestByWeight(long nowMs) {
        double best = 0;
        for (RecentService service : byCustomer.values()) {
            best = Math.max(best, service.chargedTokensAt(nowMs) / service.weight);
        }
        return best;
    }

    /** The customers that are underserved, see {@link #isUnderserved}. */
    List<Underserved> underserved(long nowMs) {
        removeUnused(nowMs);
        double bestByWeight = bestByWeight(nowMs);
        List<Underserved> found = new ArrayList<>();
        byCustomer.forEach((customer, service) -> {
            if (service.isUnderserved(bestByWeight, nowMs)) {
                double factor = service.decayFactor(nowMs);
                found.add(new Underserved(customer, factor * service.askedTokens, factor * service.chargedTokens));
            }
        });
        return found;
    }

    /** The values on which {@link #isUnderserved} is based. */
    Standing standing(CustomerId customer, long nowMs) {
        RecentService own = use(customer, nowMs);
        removeUnused(nowMs);
        double bestTokens = bestByWeight(nowMs) * own.weight;
        boolean underserved = own.isUnderserved(bestByWeight(nowMs), nowMs);
        return new Standing(own.askedTokens, own.chargedTokens, own.largestTokens, bestTokens, underserved);
    }

    /**
     * Recent averages of a customer.
     *
     * @param bestTokens the charge of the customer served best, by weight
     */
    record Standing(
            double askedTokens, double chargedTokens, double largestTokens, double bestTokens, boolean underserved) {}

    /** The tokens that a customer asked for and was charged, averaged over the window. */
    record Underserved(CustomerId customer, double askedTokens, double chargedTokens) {}

    private RecentService use(CustomerId customer, long nowMs) {
        RecentService service = byCustomer.computeIfAbsent(customer, missing -> new RecentService(nowMs));
        service.decay(nowMs);
        return service;
    }

    private void removeUnused(long nowMs) {
        Iterator<RecentService> eldestFirst = byCustomer.values().iterator();
        while (eldestFirst.hasNext() && nowMs - eldestFirst.next().usedAtMs > UNUSED_KEPT_MS) {
            eldestFirst.remove();
        }
    }

    private void decay(long nowMs) {
        // An exponential average, because a sliding window would have to keep every charge.
        windowTokens *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / WINDOW_MS);
        updatedAtMs = Math.max(updatedAtMs, nowMs);
        Iterator<Long> eldestFirst = lastChargedAtMs.values().iterator();
        while (eldestFirst.hasNext() && nowMs - eldestFirst.next() > WINDOW_MS) {
            eldestFirst.remove();
        }
    }

    /** Exponential averages of one customer. */
    private static final class RecentService {
        private double askedTokens;
        private double chargedTokens;
        private double largestTokens;
        private double weight = 1;
        private long rejectedAtMs = Long.MIN_VALUE / 2;
        private long usedAtMs;

        private RecentService(long nowMs) {
            this.usedAtMs = nowMs;
        }

        private double chargedTokensAt(long nowMs) {
            return chargedTokens * decayFactor(nowMs);
        }

        private boolean isUnderserved(double bestByWeight, long nowMs) {
            double factor = decayFactor(nowMs);
            double minTokens = MIN_RATIO * Math.min(factor * askedTokens, bestByWeight * weight);
            return factor * (chargedTokens + largestTokens) < minTokens;
        }

        private void decay(long nowMs) {
            double factor = decayFactor(nowMs);
            askedTokens *= factor;
            chargedTokens *= factor;
            largestTokens *= factor;
            usedAtMs = Math.max(usedAtMs, nowMs);
        }

        private double decayFactor(long nowMs) {
            return Math.exp(-Math.max(0, nowMs - usedAtMs) / WINDOW_MS);
        }
    }
}
