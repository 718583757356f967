package org.marjoramswitch.kernel.admission;

/**
 * Derives from the lag how much work the instance admits and how many requests it rejects per second.
 *
 * <p>The admitted work follows the lag by AIMD. A rejection costs processor time too, so reducing only the admitted work
 * ends in a state in which rejections use the whole processor and the lag remains. Down to half of the processor the
 * admitted work is reduced first; below, the rate of rejections, which the server enforces by accepting fewer
 * connections; and the admitted work again only once that rate is at its minimum.
 *
 * <p>Work is estimated processor time, in microseconds per millisecond, which is the same as thousandths of a core. The
 * estimate may be wrong by a factor of two; AIMD corrects it.
 *
 * <p>A single late sample has no effect, since a garbage collection or an exhausted processor quota delays everything
 * briefly. Neither has a lag that falls, since the backlog of such a pause is being processed.
 */
final class ProcessorLimits {
    /** A small part of the shortest latency objectives, which are a few hundred milliseconds. */
    static final long LATE_MS = 60;
    /** Below this lag the limits grow. */
    private static final long ON_TIME_MS = 30;
    /** A lag that has fallen by more than this shows that a backlog is being processed. */
    private static final double FALLING_RATIO = 0.9;

    /**
     * Near capacity the backlog of a pause takes seconds to process, and its lag does not fall steadily. A lag that stays
     * at half of its peak for longer than this is an overload.
     */
    private static final double PEAK_DECAY_MS = 2_000;

    private static final int MIN_LATE_SAMPLES = 2;
    private static final double CUT_RATIO = 0.85;
    /** A cut takes at least this long to become visible in the lag. */
    private static final long CUT_INTERVAL_MS = 100;
    /** The admitted work and the rejections each get at least about half of the processor while both are excessive. */
    private static final double FAIR_SHARE = 0.5;

    private static final double MIN_SHARE = 0.25;
    /** The estimate of the work may be several times too high. */
    private static final double MAX_SHARE = 4;

    private static final double INITIAL_SHARE = 0.7;
    /** Increase per on-time sample as a share of the processor: half of the processor in 0.7 s. */
    private static final double GROWTH_SHARE = 0.015;
    /** While all that is offered may fit, since a flood has probably ended and only its retries are left. */
    private static final double FITTING_GROWTH_SHARE = 0.05;

    private static final double FITTING_RATIO = 1.2;
    /** Processor time of a rejection (334 to 431 µs) with the accept of the next connection (62 to 119 µs). */
    private static final double REJECTION_US = 450;

    private static final double MIN_REJECTIONS_PER_MS = 0.02;
    private static final double MAX_REJECTIONS_PER_MS = 10;
    private static final double REJECTIONS_GROWTH = 1.03;
    /** The limits end once the offered work has been well below them for this long. */
    private static final long END_AFTER_MS = 300;

    /** Time without a pause of accepts after which all that waited has been read. */
    private static final long PAUSE_KNOWN_MS = 100;

    private static final double END_RATIO = 1.1;

    private final double processorMillicores;
    private boolean active;
    private double admittedMillicores;
    private double rejectionsPerMs;
    private int lateSamples;
    /** Late samples since the last one on time that were about the highest so far. */
    private int peakSamples;

    private double peakLagMs;
    private long sampledAtMs;
    private long lastLagMs;
    private long lastCutAtMs;
    private long fitsSinceMs;
    private long acceptsPausedAtMs = -PAUSE_KNOWN_MS;

    ProcessorLimits(int processorMillicores) {
        this.processorMillicores = processorMillicores;
    }

    /** Whether the limits apply; otherwise every request is admitted. */
    boolean isActive() {
        return active;
    }

    double admittedMillicores() {
        return admittedMillicores;
    }

    double rejectionsPerMs() {
        return rejectionsPerMs;
    }

    long lastLagMs() {
        return lastLagMs;
    }

    /** The server was told to accept no connections, so that requests wait which are not counted as offered. */
    void acceptsPaused(long nowMs) {
        acceptsPausedAtMs = nowMs;
    }

    private boolean isOfferKnown(long nowMs) {
        return nowMs - acceptsPausedAtMs >= PAUSE_KNOWN_MS;
    }

    /** @param offeredMillicores estimated work of all requests that arrive */
    void sample(long lagMs, double offeredMillicores, long nowMs) {
        countLate(lagMs, nowMs);
        if (!active) {
            if (peakSamples >= MIN_LATE_SAMPLES) {
                begin(offeredMillicores, nowMs);
            }
            return;
        }
        adjust(lagMs, offeredMillicores, nowMs);
        endIfUnused(lagMs, offeredMillicores, nowMs);
    }

    private void countLate(long lagMs, long nowMs) {
        double peakMs = peakLagMs * Math.exp(-Math.max(0, nowMs - sampledAtMs) / PEAK_DECAY_MS);
        boolean late = lagMs >= LATE_MS;
        boolean falling = lagMs < FALLING_RATIO * lastLagMs;
        boolean belowPeak = lagMs < FALLING_RATIO * peakMs;
        lateSamples = late ? (falling ? 1 : lateSamples + 1) : 0;
        if (!late) {
            peakSamples = 0;
        } else if (!belowPeak) {
            peakSamples++;
        }
        peakLagMs = late ? Math.max(peakMs, lagMs) : 0;
        lastLagMs = lagMs;
        sampledAtMs = nowMs;
    }

    private void begin(double offeredMillicores, long nowMs) {
        active = true;
        admittedMillicores = Math.max(
                FAIR_SHARE * processorMillicores,
                Math.min(CUT_RATIO * offeredMillicores, INITIAL_SHARE * processorMillicores));
        rejectionsPerMs = (1 - INITIAL_SHARE) * processorMillicores / REJECTION_US;
        lastCutAtMs = nowMs;
        fitsSinceMs = nowMs;
    }

    private void adjust(long lagMs, double offeredMillicores, long nowMs) {
        if (lagMs < ON_TIME_MS) {
            boolean fits = isOfferKnown(nowMs) && offeredMillicores <= FITTING_RATIO * processorMillicores;
            double growth = (fits ? FITTING_GROWTH_SHARE : GROWTH_SHARE) * processorMillicores;
            admittedMillicores = Math.min(MAX_SHARE * processorMillicores, admittedMillicores + growth);
            rejectionsPerMs = Math.min(MAX_REJECTIONS_PER_MS, rejectionsPerMs * REJECTIONS_GROWTH);
        } else if (lateSamples >= MIN_LATE_SAMPLES && nowMs - lastCutAtMs >= CUT_INTERVAL_MS) {
            cut();
            lastCutAtMs = nowMs;
        }
    }

    private void cut() {
        double fair = FAIR_SHARE * processorMillicores;
        if (admittedMillicores > fair) {
            admittedMillicores = Math.max(fair, CUT_RATIO * admittedMillicores);
        } else if (rejectionsPerMs > MIN_REJECTIONS_PER_MS) {
            rejectionsPerMs = Math.max(MIN_REJECTIONS_PER_MS, CUT_RATIO * rejectionsPerMs);
        } else {
            admittedMillicores = Math.max(MIN_SHARE * processorMillicores, CUT_RATIO * admittedMillicores);
        }
    }

    private void endIfUnused(long lagMs, double offeredMillicores, long nowMs) {
        if (!isOfferKnown(nowMs) || lagMs >= ON_TIME_MS || END_RATIO * offeredMillicores > admittedMillicores) {
            fitsSinceMs = nowMs;
        } else if (nowMs - fitsSinceMs >= END_AFTER_MS) {
            active = false;
            lateSamples = 0;
            peakSamples = 0;
        }
    }
}
