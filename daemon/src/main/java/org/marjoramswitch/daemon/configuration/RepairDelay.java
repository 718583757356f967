package org.marjoramswitch.daemon.configuration;

/**
 * Delays a repair until a generation that is known to exist has been missing in the key-value store for some time. A
 * missing generation alone does not show that the store was restored from a backup: it looks the same if a read started
 * before another acceptor published, or if a peer holds the generation and is about to send it.
 */
final class RepairDelay {
    private static final long NOT_MISSING = -1;

    private final long repairAfterMs;
    private long missingSinceMs = NOT_MISSING;

    private RepairDelay(long repairAfterMs) {
        this.repairAfterMs = repairAfterMs;
    }

    static RepairDelay of(long repairAfterMs) {
        return new RepairDelay(repairAfterMs);
    }

    /** Records whether a round found a generation missing; returns true if the repair must wait. */
    boolean mustWait(boolean missing, long nowMs) {
        if (!missing) {
            missingSinceMs = NOT_MISSING;
            return false;
        }
        if (missingSinceMs == NOT_MISSING) {
            missingSinceMs = nowMs;
        }
        return nowMs - missingSinceMs < repairAfterMs;
    }
}
