package org.marjoramswitch.daemon.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Manages the leases to which this instance's claims are attached. One lease per claim would double the writes, so all
 * claims of a few minutes share a lease, which is never renewed: its lifetime is 1.5 times the retention and it accepts
 * new claims for half the retention, so the last claim attached to it is still kept for the full retention. A claim
 * outlives the instance that made it, because the caller may retry after that instance has crashed.
 *
 * <p>A lease's end is counted from before its grant was sent. The requested TTL exceeds the counted lifetime by one
 * twentieth, to allow for clock drift.
 */
final class ClaimLeases {
    private static final int MS_PER_SECOND = 1_000;
    private static final int CLOCK_MARGIN_DIVISOR = 20;

    private final long retentionMs;
    private final Deque<Lease> leases = new ArrayDeque<>();

    private ClaimLeases(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    static ClaimLeases of(long retentionMs) {
        return new ClaimLeases(retentionMs);
    }

    /** The TTL to request for a new lease. */
    long ttlSeconds() {
        long lifetimeMs = retentionMs + retentionMs / 2;
        return Math.max(1, (lifetimeMs + marginMs(lifetimeMs) + MS_PER_SECOND - 1) / MS_PER_SECOND);
    }

    /** The id of the lease for new claims, 0 if a new lease is needed. */
    long currentLeaseId(long nowMs) {
        Lease newest = leases.peekLast();
        return newest != null && nowMs - newest.sentAtMs <= retentionMs / 2 ? newest.id : 0;
    }

    void onGranted(long leaseId, long sentAtMs) {
        leases.removeIf(lease -> endMs(lease) <= sentAtMs);
        leases.addLast(new Lease(leaseId, sentAtMs));
    }

    /** Discards a lease that no longer exists in the store. */
    void onExpired(long leaseId) {
        leases.removeIf(lease -> lease.id == leaseId);
    }

    /** Time until which an entry attached to this lease is guaranteed to exist; 0 for a lease of another holder. */
    long endMs(long leaseId) {
        for (Iterator<Lease> newestFirst = leases.descendingIterator(); newestFirst.hasNext(); ) {
            Lease lease = newestFirst.next();
            if (lease.id == leaseId) {
                return endMs(lease);
            }
        }
        return 0;
    }

    private long endMs(Lease lease) {
        return lease.sentAtMs + retentionMs + retentionMs / 2;
    }

    private static long marginMs(long lifetimeMs) {
        return lifetimeMs / CLOCK_MARGIN_DIVISOR;
    }

    private record Lease(long id, long sentAtMs) {}
}
