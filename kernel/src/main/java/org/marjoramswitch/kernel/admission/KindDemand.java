package org.marjoramswitch.kernel.admission;

/** One customer's requests of one kind: the offered work, its tokens, and a token bucket of the admitted work. */
final class KindDemand {
    /** The bucket holds this time of the admitted rate, so that short bursts do not lose admissions. */
    private static final double BURST_MS = 50;

    private final DecayingRate work = DecayingRate.create();
    private final DecayingRate tokens = DecayingRate.create();
    private final boolean isLate;
    private double allowedMillicores;
    private double bucketUs;
    private long filledAtMs;

    /** @param isLate whether the objective of these requests cannot be met */
    KindDemand(boolean isLate) {
        this.isLate = isLate;
    }

    void record(double requestTokens, double workUs, long nowMs) {
        work.add(workUs, nowMs);
        tokens.add(requestTokens, nowMs);
    }

    double offeredMillicores(long nowMs) {
        return work.perMs(nowMs);
    }

    /** The preference of these requests: tokens per work, or less than any such if they are late. */
    double preference(long nowMs) {
        double offered = work.perMs(nowMs);
        double density = offered > 0 ? tokens.perMs(nowMs) / offered : 0;
        return isLate ? density - Double.MAX_VALUE / 2 : density;
    }

    boolean isLate() {
        return isLate;
    }

    void allow(double millicores, long nowMs) {
        fill(nowMs);
        allowedMillicores = millicores;
    }

    /** Takes a request's work from the bucket; false if it is exhausted. */
    boolean take(double workUs, long nowMs) {
        fill(nowMs);
        if (bucketUs <= 0) {
            return false;
        }
        bucketUs -= workUs;
        return true;
    }

    private void fill(long nowMs) {
        double capacityUs = Math.max(1, BURST_MS * allowedMillicores);
        bucketUs = Math.min(capacityUs, bucketUs + allowedMillicores * Math.max(0, nowMs - filledAtMs));
        filledAtMs = Math.max(filledAtMs, nowMs);
    }
}
