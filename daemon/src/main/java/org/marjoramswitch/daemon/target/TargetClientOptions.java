package org.marjoramswitch.daemon.target;

import org.marjoramswitch.kernel.settings.TargetKind;

/**
 * Limits of the connections to targets.
 *
 * @param connectTimeoutMs time after which an attempt to connect counts as refused
 * @param idleAgeMs idle time after which a connection is closed instead of reused
 * @param serviceIdleAgeMs idle time up to which a connection is reused for a call to a plain service; shorter, since
 *     many such calls must not be repeated
 * @param maxIdlePerTarget maximum number of idle connections per target
 * @param maxOpenPerTarget maximum number of open connections per target; further attempts are refused
 * @param maxAnswerBytes maximum size of a response from a target
 */
public record TargetClientOptions(
        long connectTimeoutMs,
        long idleAgeMs,
        long serviceIdleAgeMs,
        int maxIdlePerTarget,
        int maxOpenPerTarget,
        long maxAnswerBytes) {
    private static final TargetClientOptions DEFAULTS = new TargetClientOptions(1_000, 4_000, 250, 32, 512, 64L << 20);

    public static TargetClientOptions defaults() {
        return DEFAULTS;
    }

    public TargetClientOptions withIdleAgeMs(long engines, long services) {
        return new TargetClientOptions(
                connectTimeoutMs, engines, services, maxIdlePerTarget, maxOpenPerTarget, maxAnswerBytes);
    }

    public TargetClientOptions withMaxOpenPerTarget(int value) {
        return new TargetClientOptions(
                connectTimeoutMs, idleAgeMs, serviceIdleAgeMs, maxIdlePerTarget, value, maxAnswerBytes);
    }

    public TargetClientOptions withMaxAnswerBytes(long value) {
        return new TargetClientOptions(
                connectTimeoutMs, idleAgeMs, serviceIdleAgeMs, maxIdlePerTarget, maxOpenPerTarget, value);
    }

    /** Maximum idle time of a connection that the attempt may reuse. */
    long idleAgeMs(AttemptSpec spec) {
        return spec.call().kind() == TargetKind.PLAIN_SERVICE ? serviceIdleAgeMs : idleAgeMs;
    }
}
