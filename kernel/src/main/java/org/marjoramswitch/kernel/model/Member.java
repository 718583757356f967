package org.marjoramswitch.kernel.model;

/**
 * An instance in a membership view.
 *
 * @param incarnation increases with every restart of the instance; state of an older incarnation is void
 * @param leaving whether the instance has announced its graceful shutdown
 * @param processorMillicores processor limit of the instance in thousandths of a core; {@link #UNKNOWN_PROCESSOR} if it
 *     has not been announced
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
