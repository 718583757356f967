package org.marjoramswitch.kernel.admission;

import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * The properties of a request that are known before its body is read.
 *
 * @param kind name of the request's kind, such as its route
 * @param tokens weighted tokens that the customer would be charged; {@link #UNKNOWN} counts as the customer's mean
 * @param workUs estimated processor time of serving it at this instance; {@link #UNKNOWN} counts as the customer's mean
 * @param objectiveLeftMs time until the first byte is late, negative if it is late already
 * @param timeoutLeftMs time until the caller times out
 */
public record AdmissionRequest(
        CustomerId customer,
        PoolId pool,
        String kind,
        long tokens,
        long workUs,
        long objectiveLeftMs,
        long timeoutLeftMs) {
    public static final long UNKNOWN = -1;
}
