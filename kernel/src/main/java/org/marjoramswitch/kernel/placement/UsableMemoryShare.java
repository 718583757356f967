package org.marjoramswitch.kernel.placement;

/**
 * The share of an engine's memory that an arbiter may use, lowered when observations show that the engine has less left
 * than estimated: first bytes that are much later than expected, responses that broke off and rejections. The cause is
 * load that the arbiter does not know of, such as another arbiter's requests.
 *
 * <p>The share recovers by itself, since the unknown load ends without notice. With 40 of 103 requests per second unknown
 * at eight engines of 80 thousand tokens, this raises the value of the others from 0.67 to 0.73 and nearly halves the
 * preemptions (mean of eight seeds).
 */
final class UsableMemoryShare {
    /** The rest is reserved for responses that are longer than expected. */
    static final double MAX = 0.9;
    /** Lower bound, so that an engine that is slow for another reason keeps most of its requests. */
    private static final double MIN = 0.4;

    private static final double DECREASE = 0.1;
    /** A decrease lasts for two seconds, in which most requests end. */
    private static final double INCREASE_PER_MS = DECREASE / 2_000;
    /** Requests that were placed before a decrease do not show its effect: about the time to a first byte. */
    private static final long MIN_INTERVAL_MS = 300;

    private double decrease;
    private long decreasedAtMs = -MIN_INTERVAL_MS;

    double at(long nowMs) {
        return MAX - decreaseAt(nowMs);
    }

    private double decreaseAt(long nowMs) {
        return Math.max(0, decrease - INCREASE_PER_MS * (nowMs - decreasedAtMs));
    }

    /** Records that the engine had less memory left than estimated. */
    void exceeded(long nowMs) {
        if (nowMs - decreasedAtMs < MIN_INTERVAL_MS) {
            return;
        }
        decrease = Math.min(MAX - MIN, decreaseAt(nowMs) + DECREASE);
        decreasedAtMs = nowMs;
    }
}
