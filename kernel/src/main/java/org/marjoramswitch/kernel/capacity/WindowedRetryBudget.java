package org.marjoramswitch.kernel.capacity;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits second sends of a pool's requests in every window of time, over the whole fleet: each instance allows itself a
 * share of its own requests and its part of a fixed slack. Shares of own requests add up to the share of all; the slack
 * is divided by the instances that are there, and half of each part is kept back for instances that are not known yet.
 *
 * <p>Only a part of what the requests allow is used, since an instance that ends takes the requests that it has counted
 * with it, and the one that takes over its callers begins with none.
 */
public final class WindowedRetryBudget {
    /** Of the fleet's share, what instances use: one that stops takes its counted requests with it. */
    private static final double USED_SHARE = 0.7;

    private static final double USED_SLACK = 0.5;
    private static final int BUCKETS = 20;

    private final Deque<Bucket> buckets = new ArrayDeque<>();

    private WindowedRetryBudget() {}

    public static WindowedRetryBudget create() {
        return new WindowedRetryBudget();
    }

    /**
     * What the fleet may send a second time.
     *
     * @param windowMs any span of this length is bounded
     * @param share of the requests in the window
     * @param slack in each window beside the share
     */
    public record Limits(long windowMs, double share, double slack) {
        public static final Limits DEFAULT = new Limits(10_000, 0.1, 20);
    }

    /** A request came. */
    public void requested(Limits limits, long nowMs) {
        bucket(limits, nowMs).requests++;
    }

    /** Takes one second send; false where the budget is spent. */
    public boolean take(Limits limits, int instances, long nowMs) {
        Bucket newest = bucket(limits, nowMs);
        int requests = 0;
        int retries = 0;
        for (Bucket bucket : buckets) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
        double allowed = USED_SHARE * limits.share() * requests + USED_SLACK * limits.slack() / Math.max(1, instances);
        if (retries + 1 > allowed) {
            return false;
        }
        newest.retries++;
        return true;
    }

    private Bucket bucket(Limits limits, long nowMs) {
        long widthMs = Math.max(1, limits.windowMs() / BUCKETS);
        while (!buckets.isEmpty() && buckets.peekFirst().sinceMs + widthMs <= nowMs - limits.windowMs()) {
            buckets.removeFirst();
        }
        Bucket newest = buckets.peekLast();
        if (newest == null || newest.sinceMs + widthMs <= nowMs) {
            newest = new Bucket(nowMs);
            buckets.addLast(newest);
        }
        return newest;
    }

    private static final class Bucket {
        private final long sinceMs;
        private int requests;
        private int retries;

        private Bucket(long sinceMs) {
            this.sinceMs = sinceMs;
        }
    }
}
