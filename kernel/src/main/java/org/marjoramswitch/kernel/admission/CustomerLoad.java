package org.marjoramswitch.kernel.admission;

import org.marjoramswitch.kernel.model.CustomerId;

/**
 * The requests of one customer that an instance received since its last report.
 *
 * @param admittedTokens tokens of the admitted requests
 * @param rejected requests that were read and rejected
 * @param unread requests that were rejected before they were read
 * @param unreadTokens estimated tokens of these, which are reported as demand
 */
public record CustomerLoad(
        CustomerId customer,
        long admitted,
        long admittedTokens,
        long rejected,
        long rejectedTokens,
        long unread,
        long unreadTokens) {}
