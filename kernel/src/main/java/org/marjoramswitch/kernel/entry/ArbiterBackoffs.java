package org.marjoramswitch.kernel.entry;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Tracks arbiters whose responses are late and excludes them until a backoff has elapsed. The backoff doubles if
 * responses are late again soon after it.
 *
 * <p>An arbiter without enough processor time still sends messages, so it does not count as silent. If entries
 * continued to use it, its backlog would fill with requests that their callers have abandoned.
 */
final class ArbiterBackoffs {
    /** A stall of this length delays first bytes by about their objective. */
    private static final long LATE_RESPONSE_MS = 400;

    private static final long FIRST_BACKOFF_MS = 2_000;
    private static final long MAX_BACKOFF_MS = 16_000;

    private final Map<InstanceId, Backoff> backoffs = new TreeMap<>();

    /**
     * @param delayMs time between placement request and response, without the time for which the arbiter held the
     *     request
     */
    static boolean isLate(long delayMs) {
        return delayMs >= LATE_RESPONSE_MS;
    }

    /**
     * Records a late or overdue response.
     *
     * @return the length of the backoff that begins; 0 if the arbiter is already in backoff
     */
    long recordLateResponse(InstanceId arbiter, long nowMs) {
        if (isInBackoff(arbiter, nowMs)) {
            return 0;
        }
        Backoff last = backoffs.getOrDefault(arbiter, Backoff.NONE);
        boolean isAgain = nowMs < last.untilMs + MAX_BACKOFF_MS;
        long lengthMs = isAgain ? Math.min(MAX_BACKOFF_MS, 2 * last.lengthMs) : FIRST_BACKOFF_MS;
        backoffs.put(arbiter, new Backoff(nowMs + lengthMs, lengthMs));
        return lengthMs;
    }

    /** Whether the arbiter must not be used now. */
    boolean isInBackoff(InstanceId arbiter, long nowMs) {
        return backoffs.getOrDefault(arbiter, Backoff.NONE).untilMs > nowMs;
    }

    private record Backoff(long untilMs, long lengthMs) {
        private static final Backoff NONE = new Backoff(Long.MIN_VALUE, 0);
    }
}
