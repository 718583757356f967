package org.marjoramswitch.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Estimates an even share of the cell's recent work: the tokens charged in the last seconds, divided by the number of
 * customers they were charged to.
 *
 * <p>A customer that has used less may catch up by this much, see {@link org.marjoramswitch.kernel.fair.FairShares}.
 * Without this credit, a customer below its share would be delayed by its own bursts: each request would wait until all
 * others had been charged as much as the one before it.
 *
 * <p>Cost: constant time, amortized. Not thread-safe.
 */
final class FairShareEstimate {
    /** Customers receive their shares over a few seconds; up to half of that can be caught up at once. */
    private static final double WINDOW_MS = 2_000;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<CustomerId, Long> lastChargedAtMs = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private double windowTokens;
    private long updatedAtMs;

    void recordCharge(CustomerId customer, double tokens, long nowMs) {
        decay(nowMs);
        windowTokens += tokens;
        lastChargedAtMs.put(customer, nowMs);
    }

    /** The tokens of an even share over the window. */
    double tokens(long nowMs) {
        decay(nowMs);
        return windowTokens / Math.max(1, lastChargedAtMs.size());
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
}
