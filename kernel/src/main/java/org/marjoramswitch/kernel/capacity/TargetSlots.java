package org.marjoramswitch.kernel.capacity;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Computes how many more requests a target may be granted.
 *
 * <p>The arbiter's own count of requests in flight is exact and current. The target's load report lags, so it is used
 * only to detect foreign load, which another arbiter granted on the other side of a partition or before a change of
 * arbiter: the reported requests beyond the maximum that this arbiter recently had in flight. Example: 16 slots, 10 in
 * flight, at most 12 in the last seconds, 15 reported: 3 are foreign, so 3 slots are free.
 *
 * <p>Edge cases: foreign load never takes the last slot. Otherwise two arbiters that each see only the other's load
 * would both wait forever.
 */
public final class TargetSlots {
    /** Age above which a load report is ignored. */
    private static final long REPORT_VALID_MS = 3_000;
    /** The maximum in flight covers the last one to two windows. */
    private static final long PEAK_WINDOW_MS = 2_000;

    private final OutlierEjection health;
    private TargetSettings settings;
    private boolean leaving;
    private int inFlight;
    private @Nullable LoadReport report;
    private int reportedForeign;
    private int peak;
    private int previousPeak;
    private long peakSinceMs;

    private TargetSlots(TargetSettings settings, PoolFaultRate poolFaultRate) {
        this.settings = settings;
        this.health = OutlierEjection.create(poolFaultRate);
    }

    /** @param poolFaultRate the fault rate of the cell's targets */
    public static TargetSlots of(TargetSettings settings, PoolFaultRate poolFaultRate) {
        return new TargetSlots(settings, poolFaultRate);
    }

    public TargetSettings settings() {
        return settings;
    }

    public void settings(TargetSettings newSettings) {
        settings = newSettings;
    }

    public OutlierEjection health() {
        return health;
    }

    public boolean leaving() {
        return leaving;
    }

    public void leaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    public int inFlight() {
        return inFlight;
    }

    public void started(long nowMs) {
        inFlight++;
        rollPeak(nowMs);
        peak = Math.max(peak, inFlight);
    }

    public void ended() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /**
     * Records a load report. Foreign load is computed here and not in {@link #free}, since the report does not include
     * requests that this arbiter starts later; subtracting those would hide as much foreign load.
     */
    public void reported(LoadReport newReport, long nowMs) {
        rollPeak(nowMs);
        int maxOwn = Math.max(inFlight, Math.max(peak, previousPeak));
        report = newReport;
        reportedForeign = Math.max(0, newReport.running() + newReport.queued() - maxOwn);
    }

    /** Returns the target's reported batch size, or the slots of its settings if it reports none. */
    public int slots() {
        LoadReport known = report;
        return known != null && known.maxBatch() > 0 ? known.maxBatch() : settings.slots();
    }

    /** Returns how many requests may be granted now, with up to {@code admitAhead} beyond the slots. */
    public int free(int admitAhead, long nowMs) {
        if (leaving) {
            return 0;
        }
        int free = Math.max(0, slots() + admitAhead - foreign(nowMs) - inFlight);
        int grantable = inFlight == 0 ? Math.max(1, free) : free;
        return health.allowed(grantable, inFlight, nowMs);
    }

    /** Returns the requests at the target that this arbiter did not grant, by the last valid report. */
    public int foreign(long nowMs) {
        LoadReport known = report;
        if (known == null || nowMs - known.measuredAtMs() > REPORT_VALID_MS) {
            return 0;
        }
        return reportedForeign;
    }

    /** Returns the share of the slots in use, by which free targets are compared. */
    public double load() {
        return (double) inFlight / Math.max(1, slots());
    }

    private void rollPeak(long nowMs) {
        if (nowMs - peakSinceMs < PEAK_WINDOW_MS) {
            return;
        }
        previousPeak = nowMs - peakSinceMs < 2 * PEAK_WINDOW_MS ? peak : inFlight;
        peak = inFlight;
        peakSinceMs = nowMs;
    }
}
