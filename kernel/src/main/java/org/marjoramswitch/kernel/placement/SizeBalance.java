package org.marjoramswitch.kernel.placement;

/**
 * Sees to it that requests are not passed over for their size alone.
 *
 * <p>A request whose prompt takes most of its objective to read has no time to wait in. Under overload, where every
 * request waits, such requests are late before their turn. With sizes as uneven as callers' are and eight engines asked
 * for 1.8 times what they can do, 0.27 of the largest tenth of the reports were served where 0.68 of all were. To treat
 * them like all others is no answer either: they are a tenth of the requests and half of the tokens, so that for each of
 * them a dozen others are refused.
 *
 * <p>So the two are compared over the newest requests, and a large one may wait for its turn while its like are served
 * less than {@value #LEAST_SHARE} times as often as the others. Its answer is late, as it would be anyway, and comes: 0.43
 * of the largest tenth at that load, for 0.03 of the worth of all.
 *
 * <p>Cost: constant. Not thread-safe.
 */
final class SizeBalance {
    /** Of the share of the others that is served, what large ones get at least; half would be too little for anybody. */
    private static final double LEAST_SHARE = 0.7;
    /** The newest some hundred requests of either sort count: seconds of a busy pool for the rarer large ones. */
    private static final double KEEP = 1 - 1.0 / 100;

    private final Share large = new Share();
    private final Share others = new Share();

    /** Whether a large request is to wait for its turn though it will be late. */
    boolean favoursLarge() {
        return large.served() < LEAST_SHARE * others.served();
    }

    /** A request was placed, or refused. */
    void ended(SizeClass size, boolean served) {
        switch (size) {
            case LARGE -> large.count(served);
            case USUAL -> others.count(served);
            case NOT_COUNTED -> {}
        }
    }

    /** Of the newest requests, those served; all before any was seen. */
    private static final class Share {
        private double asked = 1;
        private double servedCount = 1;

        void count(boolean served) {
            asked = KEEP * asked + 1;
            servedCount = KEEP * servedCount + (served ? 1 : 0);
        }

        double served() {
            return servedCount / asked;
        }
    }
}
