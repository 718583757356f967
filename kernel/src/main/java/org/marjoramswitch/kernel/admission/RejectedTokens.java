package org.marjoramswitch.kernel.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/** Counts the tokens of rejected requests by pool and customer, for the reports to the arbiters. */
final class RejectedTokens {
    /** Maximum customers of a pool in a report. */
    static final int MAX_REPORTED = 16;

    private static final long INTERVAL_MS = 250;
    private static final int MAX_COUNTED = 256;

    private final Map<Key, Long> tokensByKey = new HashMap<>();
    private long takenAtMs;

    private record Key(PoolId pool, CustomerId customer) {}

    void add(PoolId pool, CustomerId customer, double tokens) {
        Key key = new Key(pool, customer);
        if (tokensByKey.size() < MAX_COUNTED || tokensByKey.containsKey(key)) {
            tokensByKey.merge(key, Math.max(1, Math.round(tokens)), Long::sum);
        }
    }

    /** Returns the largest counts of each pool since the last report, empty before the next report is due. */
    List<CustomerTokens> takeDue(long nowMs) {
        if (tokensByKey.isEmpty() || nowMs - takenAtMs < INTERVAL_MS) {
            return List.of();
        }
        takenAtMs = nowMs;
        List<CustomerTokens> all = new ArrayList<>();
        tokensByKey.forEach((key, tokens) -> all.add(new CustomerTokens(key.pool(), key.customer(), tokens)));
        tokensByKey.clear();
        all.sort(Comparator.comparingLong(CustomerTokens::tokens).reversed());
        Map<PoolId, Integer> reported = new HashMap<>();
        all.removeIf(entry -> reported.merge(entry.pool(), 1, Integer::sum) > MAX_REPORTED);
        return List.copyOf(all);
    }
}
