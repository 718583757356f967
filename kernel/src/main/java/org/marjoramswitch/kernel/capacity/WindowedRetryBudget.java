package org.marjoramswitch.kernel.capacity;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of a pool's requests per time window across the whole fleet. Each instance allows itself a share
 * of its own requests plus its part of a fixed slack. The shares of the instances add up to the share of all requests.
 * The slack is divided by the number of known instances, and half of each part is reserved for instances that are not
 * known yet.
 *
 * <p>Only {@value #USED_SHARE} of the share is used, since the request count of an instance that exits is lost, and the
 * instance that takes over its callers starts at zero.
 */
public final class WindowedRetryBudget {
    /** Part of the share that is used; the rest covers the lost request counts of instances that exit. */
    private static final double USED_SHARE = 0.7;

    /** Part of the slack that is used; the rest is reserved for instances that are not known yet. */
    private static final double USED_SLACK = 0.5;

    private static final int BUCKETS = 20;

    private final Deque<Bucket> buckets = new ArrayDeque<>();

    private WindowedRetryBudget() {}

    public static WindowedRetryBudget create() {
        return new WindowedRetryBudget();
    }

    /**
     * Limits for the retries of the whole fleet.
     *
     * @param windowMs length of the sliding window
     * @param share retries allowed per request in the window
     * @param slack retries allowed per window in addition to the share
     */
    public record Limits(long windowMs, double share, double slack) {
        public static final Limits DEFAULT = new Limits(10_000, 0.1, 20);
    }

    /** Counts a request. */
    public void requested(Limits limits, long nowMs) {
        bucket(limits, nowMs).requests++;
    }

    /** Takes one retry from the budget; false if none is left. */
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

    /** Returns a retry that was taken at this time and not used. */
    public void giveBack(long takenAtMs) {
        Bucket taken = null;
        for (Bucket bucket : buckets) {
            if (bucket.sinceMs <= takenAtMs) {
                taken = bucket;
            }
        }
        if (taken != null) {
            taken.retries = Math.max(0, taken.retries - 1);
        }
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
