package org.marjoramswitch.daemon.exchange;

/**
 * Status that a target reports about itself in a response.
 *
 * @param leaving whether the target is draining and accepts no new requests
 * @param backoffMs how long this instance must not send requests to the target; 0 if not given
 */
public record TargetStatusNotice(boolean leaving, long backoffMs) {
    public static final TargetStatusNotice NONE = new TargetStatusNotice(false, 0);

    public boolean isNone() {
        return equals(NONE);
    }
}
