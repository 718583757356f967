package org.marjoramswitch.kernel.entry;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Tracks arbiters whose answers are late, and passes them over until a backoff has elapsed. The backoff doubles when the
 * answers are late again soon after it.
 *
 * <p>An arbiter without enough processor time still sends messages, so it does not count as silent. If entries kept asking
 * it, its backlog would fill with requests whose callers have given up.
 */
final class ArbiterBackoffs {
    /** A stall of this length delays first bytes by about their objective. */
    private static final long LATE_MS = 400;

    private static final long FIRST_BACKOFF_MS = 2_000;
    private static final long MAX_BACKOFF_MS = 16_000;

    private final Map<InstanceId, Backoff> backoffs = new TreeMap<>();

    /** @param delayMs between question and answer, without the time for which the arbiter kept the request waiting */
    static boolean isLate(long delayMs) {
        return delayMs >= LATE_MS;
    }

    /**
     * An answer is late or overdue.
     *
     * @return the backoff that begins now; 0 where the arbiter is in one
     */
    long late(InstanceId arbiter, long nowMs) {
        if (isInBackoff(arbiter, nowMs)) {
            return 0;
        }
        Backoff last = backoffs.getOrDefault(arbiter, Backoff.NONE);
        boolean isAgain = nowMs < last.untilMs + MAX_BACKOFF_MS;
        long lengthMs = isAgain ? Math.min(MAX_BACKOFF_MS, 2 * last.lengthMs) : FIRST_BACKOFF_MS;
        backoffs.put(arbiter, new Backoff(nowMs + lengthMs, lengthMs));
        return lengthMs;
    }

    /** Whether the arbiter is not to be asked now. */
    boolean isInBackoff(InstanceId arbiter, long nowMs) {
        return backoffs.getOrDefault(arbiter, Backoff.NONE).untilMs > nowMs;
    }

    private record Backoff(long untilMs, long lengthMs) {
        private static final Backoff NONE = new Backoff(Long.MIN_VALUE, 0);
    }
}
