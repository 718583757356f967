package org.marjoramswitch.kernel.admission;

import java.util.HashMap;
import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * The requests of the last seconds by pool and customer, from which the customers of unread requests are estimated.
 *
 * <p>Connections are accepted in the order in which they arrive, whoever sends them, so the requests that were read are a
 * sample of all: an unread request is counted in proportion to the recent ones, with their mean tokens. Equal parts would
 * charge customers with few requests for the flood of another one. Requests on connections that stay open are in the sample
 * as well, so the estimate favours customers whose callers open new connections.
 */
final class RecentRequests {
    /** Long enough for hundreds of requests at the lowest rates of accepts, and as short as a flood of some seconds. */
    private static final double WINDOW_MS = 2_000;

    private static final int MAX_KEYS = 256;
    private static final double MIN_REQUESTS = 0.01;

    private final Map<Key, Amount> amounts = new HashMap<>();
    private long decayedAtMs;

    private record Key(PoolId pool, CustomerId customer) {}

    private static final class Amount {
        private double requests;
        private double tokens;
    }

    void add(PoolId pool, CustomerId customer, double tokens, long nowMs) {
        if (nowMs - decayedAtMs > WINDOW_MS) {
            // The growth below is infinite after some minutes.
            decay(nowMs);
        }
        Key key = new Key(pool, customer);
        if (amounts.size() >= MAX_KEYS && !amounts.containsKey(key)) {
            decay(nowMs);
            if (amounts.size() >= MAX_KEYS) {
                return;
            }
        }
        // Amounts grow in place of the others' decay, which is applied when they are read.
        double growth = Math.exp(Math.max(0, nowMs - decayedAtMs) / WINDOW_MS);
        Amount amount = amounts.computeIfAbsent(key, missing -> new Amount());
        amount.requests += growth;
        amount.tokens += growth * tokens;
    }

    /** Adds the estimated tokens of unread requests to the rejected ones; none while nothing was read. */
    void distribute(long requests, long nowMs, RejectedTokens rejected) {
        decay(nowMs);
        double total =
                amounts.values().stream().mapToDouble(amount -> amount.requests).sum();
        if (total <= 0) {
            return;
        }
        amounts.forEach((key, amount) -> {
            double tokens = requests * amount.tokens / total;
            if (tokens >= 1) {
                rejected.add(key.pool(), key.customer(), tokens);
            }
        });
    }

    int size() {
        return amounts.size();
    }

    private void decay(long nowMs) {
        double factor = Math.exp(-Math.max(0, nowMs - decayedAtMs) / WINDOW_MS);
        decayedAtMs = Math.max(decayedAtMs, nowMs);
        amounts.values().removeIf(amount -> {
            amount.requests *= factor;
            amount.tokens *= factor;
            return amount.requests < MIN_REQUESTS;
        });
    }
}
