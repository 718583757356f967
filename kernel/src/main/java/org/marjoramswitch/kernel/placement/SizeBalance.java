package org.marjoramswitch.kernel.placement;

/**
 * Prevents large requests from being starved because of their size.
 *
 * <p>A request whose prefill takes most of its objective has no slack to wait in the queue. Under overload, where every
 * request waits, such requests become late before they are started. With the uneven prompt sizes of real callers and
 * eight engines at 1.8 times their capacity, 0.27 of the largest tenth of the requests would be served, compared to
 * 0.68 of all. (Both are shares of one kind of request, reports, whose prompt sizes vary most.) Serving both groups
 * equally often would cost too much: the largest tenth has half of the tokens, so serving one of its requests rejects a
 * dozen others.
 *
 * <p>Therefore the served shares of both groups are compared over the newest requests, and a large request may wait in
 * the queue while large requests are served less than {@value #MIN_RATIO} times as often as the others. Its response is
 * late, as it would be anyway, but it is served: 0.43 of the largest tenth at that load, at a cost of 0.03 of the total
 * value of the requests served.
 *
 * <p>Cost: constant time. Not thread-safe.
 */
final class SizeBalance {
    /**
     * Minimum served share of large requests relative to that of the others; 0.5 would be too low for their callers.
     */
    private static final double MIN_RATIO = 0.7;
    /** Below this share of the others, rejections are not single cases. */
    private static final double MIN_SERVED = 0.98;
    /** About the newest hundred requests of each group count; a busy pool receives as many large ones in seconds. */
    private static final double DECAY = 1 - 1.0 / 100;

    private final ServedShare large = new ServedShare();
    private final ServedShare others = new ServedShare();

    /** Whether large requests are served too rarely, so that one may wait in the queue although it will be late. */
    boolean isLargeUnderserved() {
        return large.value() < MIN_RATIO * others.value();
    }

    /** Whether nearly all requests that are not large are served, so that the pool is not overloaded. */
    boolean areOthersServed() {
        return others.value() >= MIN_SERVED;
    }

    /** Records that a request was placed or rejected. */
    void recordOutcome(SizeClass size, boolean served) {
        switch (size) {
            case LARGE -> large.count(served);
            case USUAL -> others.count(served);
            case NOT_COUNTED -> {}
        }
    }

    /** Tracks the share of the newest requests that were served; 1 before the first request. */
    private static final class ServedShare {
        private double totalCount = 1;
        private double servedCount = 1;

        void count(boolean served) {
            totalCount = DECAY * totalCount + 1;
            servedCount = DECAY * servedCount + (served ? 1 : 0);
        }

        double value() {
            return servedCount / totalCount;
        }
    }
}
