package org.marjoramswitch.kernel.addresses;

/**
 * Damps the headroom that an instance announces: it falls at once and rises slowly.
 *
 * <p>Callers keep address responses for up to three seconds. If an instance announced its full headroom as soon as it
 * is on time, all responses of that time would list it again, and their callers would overload it together.
 */
public final class HeadroomRamp {
    public static final int FULL_PERCENT = 100;

    /** Full headroom after 5 s, which is longer than any response is kept. */
    private static final int RISE_PERCENT_PER_S = 20;

    private static final int MS_PER_SECOND = 1_000;

    private double percent = FULL_PERCENT;
    private long lastMs;
    private boolean started;

    private HeadroomRamp() {}

    public static HeadroomRamp create() {
        return new HeadroomRamp();
    }

    /**
     * Returns the headroom to announce.
     *
     * @param measuredPercent the present headroom, 0 to 100
     */
    public int update(int measuredPercent, long nowMs) {
        int measured = Math.max(0, Math.min(FULL_PERCENT, measuredPercent));
        long elapsedMs = started ? Math.max(0, nowMs - lastMs) : 0;
        started = true;
        lastMs = nowMs;
        percent = Math.min(measured, percent + (double) RISE_PERCENT_PER_S * elapsedMs / MS_PER_SECOND);
        return (int) percent;
    }
}
