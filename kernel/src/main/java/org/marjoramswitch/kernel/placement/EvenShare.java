package org.marjoramswitch.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * What an even share of the cell's work was lately: the tokens that were charged in the last seconds, divided by the
 * customers that they were charged to.
 *
 * <p>A customer that has used less may catch up by that much, see {@link org.marjoramswitch.kernel.fair.FairShares}. Requests
 * come in clumps; a customer whose next one has to wait until all others had as much as its last one gets late by its own
 * clumps, though over seconds it asks for less than its share. At 1.8 times what a pool can do, customers that ask for 6
 * and 4 in 100 of it had 0.86 and 0.94 of their requests in time, and 0.94 and 0.99 with this; the largest pays for it.
 *
 * <p>Cost: constant, a customer's first charge after a pause aside. Not thread-safe.
 */
final class EvenShare {
    /** Customers are owed their shares over a few seconds; half of that may be caught up at once. */
    private static final double WINDOW_MS = 2_000;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<CustomerId, Long> chargedAtMs = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private double windowTokens;
    private long updatedAtMs;

    void charged(CustomerId customer, double tokens, long nowMs) {
        age(nowMs);
        windowTokens += tokens;
        chargedAtMs.put(customer, nowMs);
    }

    /** The tokens of an even share over the window. */
    double tokens(long nowMs) {
        age(nowMs);
        return windowTokens / Math.max(1, chargedAtMs.size());
    }

    private void age(long nowMs) {
        // An exponential average in place of a window with a sharp end, which would have to keep every charge.
        windowTokens *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / WINDOW_MS);
        updatedAtMs = Math.max(updatedAtMs, nowMs);
        Iterator<Long> eldestFirst = chargedAtMs.values().iterator();
        while (eldestFirst.hasNext() && nowMs - eldestFirst.next() > WINDOW_MS) {
            eldestFirst.remove();
        }
    }
}
