package org.marjoramswitch.kernel.request;

/**
 * Limits of a {@link KeyRegistry}.
 *
 * @param maxKeys maximum number of keys
 * @param maxCustomerKeys maximum number of keys of one customer
 * @param startWindowMs time after the issue of its prefix for which a key may start a request
 * @param memoryMs minimum time after the issue of its prefix for which a key is kept; longer than the start window
 * @param replayMs time after its end for which a response can be replayed
 * @param skewMs maximum clock difference between two instances
 */
public record KeyLimits(
        int maxKeys, int maxCustomerKeys, long startWindowMs, long memoryMs, long replayMs, long skewMs) {
    public static KeyLimits defaults() {
        return new KeyLimits(50_000, 10_000, 120_000, 600_000, 60_000, 5_000);
    }
}
