package org.marjoramswitch.kernel.addresses;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * An instance that may be listed in an address response.
 *
 * @param processorMillicores {@link Member#UNKNOWN_PROCESSOR} if not stated
 * @param headroomPercent 0 while the instance rejects requests because it is overloaded, up to 100
 */
public record Candidate(InstanceId id, DataCentreId dataCentre, int processorMillicores, int headroomPercent) {}
