package org.marjoramswitch.tool.fleet;

/**
 * One instance, as the platform lists it and as it answers for itself.
 *
 * @param listed the state in the platform's list, which lags
 * @param reachable whether it answered
 * @param ready whether it takes new requests; {@code reason} says why not
 * @param generation the settings in force there, 0 for none
 * @param openRequests requests of callers at this instance now
 * @param processorMillicores the processor that it may use, in thousandths of a core; 0 where unknown
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        String callers,
        String listed,
        boolean reachable,
        boolean ready,
        String reason,
        long generation,
        long openRequests,
        int processorMillicores) {}
