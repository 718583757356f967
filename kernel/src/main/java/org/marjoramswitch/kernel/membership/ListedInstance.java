package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;

/**
 * An instance in the platform's list, which may lag behind.
 *
 * @param incarnation of the process that wrote the entry; {@link #UNKNOWN_INCARNATION} if it does not state it
 */
public record ListedInstance(MemberAddress address, DataCentreId dataCentre, long incarnation) {
    public static final long UNKNOWN_INCARNATION = 0;

    public static ListedInstance of(MemberAddress address, DataCentreId dataCentre, long incarnation) {
        return new ListedInstance(address, dataCentre, incarnation);
    }

    /** An instance whose entry does not state its incarnation. */
    public static ListedInstance of(MemberAddress address, DataCentreId dataCentre) {
        return of(address, dataCentre, UNKNOWN_INCARNATION);
    }
}
