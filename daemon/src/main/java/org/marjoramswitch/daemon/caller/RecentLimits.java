package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.route.CallerLimits;

/**
 * The limits on callers' connections: those in force, and former ones that callers may still act by.
 *
 * <p>What began while a former limit was in force may be finished by it. A caller learns a limit at another time than the
 * instance and keeps idle connections by the limit that it knows, so former timeouts also hold for what began within {@link
 * #NOTICE_MS} after their end. Sizes do not: a changed limit must be in force on all instances within seconds. Of several
 * limits the most generous one holds.
 *
 * <p>Until limits are known, none is applied: a default that is shorter than the operator's limit would close connections
 * that callers are about to use.
 *
 * <p>Thread-safe.
 */
final class RecentLimits {
    /** A version is in force on all instances two seconds after its write, and callers have noticed it a second later. */
    static final long NOTICE_MS = 3_000;
    /** When more limits change within their own duration, the two oldest ones are combined. */
    private static final int MAX_FORMER = 16;

    private volatile Known known;

    private RecentLimits(Known known) {
        this.known = known;
    }

    /** No limits are known yet. */
    static RecentLimits unknown() {
        return new RecentLimits(new Known(null, 0, List.of()));
    }

    /** Limits that do not change. */
    static RecentLimits fixed(CallerLimits limits) {
        return new RecentLimits(new Known(limits, Long.MIN_VALUE, List.of()));
    }

    /** Applies new limits, also to what has begun before, where they are more generous. */
    synchronized void apply(CallerLimits limits, long nowMs) {
        Known before = known;
        CallerLimits replaced = before.current();
        if (replaced == null) {
            known = new Known(limits, nowMs, List.of());
        } else if (!replaced.equals(limits)) {
            List<Former> former = new ArrayList<>(before.former());
            former.add(new Former(replaced, nowMs));
            while (former.size() > MAX_FORMER) {
                former.set(1, former.get(1).including(former.get(0)));
                former.remove(0);
            }
            known = new Known(limits, before.sinceMs(), List.copyOf(former));
        }
    }

    /** Forgets former limits by which nothing can be open any more. */
    void forgetExpired(long nowMs) {
        List<Former> former = known.former();
        if (!former.isEmpty() && former.get(0).isExpired(nowMs)) {
            removeExpired(nowMs);
        }
    }

    private synchronized void removeExpired(long nowMs) {
        List<Former> kept =
                known.former().stream().filter(each -> !each.isExpired(nowMs)).toList();
        known = new Known(known.current(), known.sinceMs(), kept);
    }

    /** Whether the same limits hold whenever something began, so that what began first expires first. */
    boolean areUniform() {
        return known.former().isEmpty();
    }

    /** The limits of a request that began at this time, or null if none are known. */
    @Nullable
    CallerLimits since(long beganMs) {
        return mostGenerous(beganMs, 0);
    }

    private @Nullable CallerLimits mostGenerous(long beganMs, long noticeMs) {
        Known present = known;
        CallerLimits limits = present.current();
        for (Former former : present.former()) {
            if (limits != null && former.endedMs() + noticeMs > beganMs) {
                limits = limits.orMoreGenerous(former.limits());
            }
        }
        return limits;
    }

    /** When a connection that is idle since this time is closed. */
    long idleUntilMs(long idleSinceMs) {
        CallerLimits limits = mostGenerous(idleSinceMs, NOTICE_MS);
        return limits == null ? Long.MAX_VALUE : Math.max(idleSinceMs, known.sinceMs()) + limits.idleTimeoutMs();
    }

    /** When a connection is closed on which a head is being received since this time. */
    long headUntilMs(long beganMs) {
        CallerLimits limits = mostGenerous(beganMs, NOTICE_MS);
        return limits == null ? Long.MAX_VALUE : Math.max(beganMs, known.sinceMs()) + limits.headTimeoutMs();
    }

    /**
     * A state of the limits.
     *
     * @param current null if none are known
     * @param sinceMs when the first limits became known
     * @param former in the order of their ends
     */
    private record Known(@Nullable CallerLimits current, long sinceMs, List<Former> former) {}

    /** Limits that were in force until a time. */
    private record Former(CallerLimits limits, long endedMs) {
        Former including(Former older) {
            return new Former(limits.orMoreGenerous(older.limits()), endedMs);
        }

        boolean isExpired(long nowMs) {
            long longestMs = Math.max(limits.idleTimeoutMs(), limits.headTimeoutMs());
            return endedMs + NOTICE_MS + longestMs < nowMs;
        }
    }
}
