package org.marjoramswitch.kernel.admission;

import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Requests of one customer to one pool that were rejected before they were read.
 *
 * @param requests number of requests
 * @param tokens sum of the tokens that their heads declare
 * @param unsized how many of them declare none
 */
public record UnreadDemand(CustomerId customer, PoolId pool, long requests, long tokens, long unsized) {}
