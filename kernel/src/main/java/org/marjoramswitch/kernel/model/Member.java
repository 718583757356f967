package org.marjoramswitch.kernel.model;

/**
 * One instance as a membership view shows it.
 *
 * @param incarnation grows with every restart of the instance; state of an older one is void
 * @param leaving true once the instance has announced its graceful shutdown
 * @param processorMillicores the processor time that the instance may use, in thousandths of a core;
 *     {@link #UNKNOWN_PROCESSOR} where it has not been announced
 */
public record Member(
        InstanceId id, long incarnation, DataCentreId dataCentre, boolean leaving, int processorMillicores) {
    public static final int UNKNOWN_PROCESSOR = 0;

    public static Member of(InstanceId id, long incarnation, DataCentreId dataCentre, boolean leaving) {
        return new Member(id, incarnation, dataCentre, leaving, UNKNOWN_PROCESSOR);
    }

    public Member withProcessor(int millicores) {
        return new Member(id, incarnation, dataCentre, leaving, millicores);
    }
}
