package org.marjoramswitch.tool.fleet;

/**
 * Status of an instance, from the platform's list and from the instance itself.
 *
 * @param listed the state in the platform's list, which may be out of date
 * @param reachable whether the instance responded
 * @param ready whether it accepts new requests; if not, {@code reason} says why
 * @param generation generation of the settings in force there; 0 for none
 * @param openRequests number of open caller requests at this instance
 * @param processorMillicores the processor quota in thousandths of a core; 0 if unknown
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
