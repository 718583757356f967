package org.marjoramswitch.kernel.placement;

/**
 * The observations of all targets of a pool, with which each target's speed is compared.
 *
 * @param firstBytes from times to first byte
 * @param services from service times
 */
record PoolSpeeds(DecayedSample firstBytes, DecayedSample services) {
    static PoolSpeeds create() {
        return new PoolSpeeds(TargetSpeed.poolSample(), TargetSpeed.poolSample());
    }
}
