package org.marjoramswitch.kernel.settings;

import java.util.Set;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Settings of a customer.
 *
 * @param team the team whose settings define the customer
 * @param weight the customer's share relative to the others', above 0
 * @param apiKeysSha256 lower-case hex hashes of the API keys
 * @param maxQueued maximum of its requests that may wait at one instance
 */
public record CustomerSettings(CustomerId id, String team, double weight, Set<String> apiKeysSha256, int maxQueued) {}
