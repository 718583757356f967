package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;

/** An instance in the platform's list, which may lag behind. */
public record ListedInstance(MemberAddress address, DataCentreId dataCentre) {
    public static ListedInstance of(MemberAddress address, DataCentreId dataCentre) {
        return new ListedInstance(address, dataCentre);
    }
}
