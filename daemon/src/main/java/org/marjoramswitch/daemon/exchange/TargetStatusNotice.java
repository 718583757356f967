package org.marjoramswitch.daemon.exchange;

/**
 * What a target says of itself beside an answer.
 *
 * @param leaving whether it leaves and wants no new request
 * @param backoffMs how long it wants nothing from this instance; 0 where it does not say
 */
public record TargetStatusNotice(boolean leaving, long backoffMs) {
    public static final TargetStatusNotice NONE = new TargetStatusNotice(false, 0);

    public boolean isNone() {
        return equals(NONE);
    }
}
