package org.marjoramswitch.daemon.caller;

/**
 * Health of the instance.
 *
 * @param live false if the instance should be replaced
 * @param ready whether the instance accepts new requests
 * @param reason why the instance is not ready; empty if it is
 */
public record Health(boolean live, boolean ready, String reason) {
    public static final Health READY = new Health(true, true, "");

    public static Health notReady(String reason) {
        return new Health(true, false, reason);
    }
}
