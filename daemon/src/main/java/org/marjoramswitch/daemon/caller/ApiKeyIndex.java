package org.marjoramswitch.daemon.caller;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.CustomerSettings;

/**
 * Maps API keys to customers. The settings hold only the keys' SHA-256 hashes, so a lookup compares hashes and its
 * duration reveals nothing about a key.
 */
final class ApiKeyIndex {
    private static final String BEARER = "Bearer ";

    private final long generation;
    private final Map<String, CustomerId> customerByHash;

    private ApiKeyIndex(long generation, Map<String, CustomerId> customerByHash) {
        this.generation = generation;
        this.customerByHash = customerByHash;
    }

    static ApiKeyIndex of(long generation, Map<CustomerId, CustomerSettings> customers) {
        Map<String, CustomerId> index = new HashMap<>();
        customers.forEach((id, customer) -> customer.apiKeysSha256().forEach(hash -> index.put(hash, id)));
        return new ApiKeyIndex(generation, index);
    }

    /** Whether the index was built from the given generation of settings. */
    boolean isOf(long otherGeneration) {
        return otherGeneration == generation;
    }

    /** @param authorization the value of the Authorization header */
    @Nullable
    CustomerId customer(@Nullable String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return null;
        }
        return customerByHash.get(
                Sha256.hex(authorization.substring(BEARER.length()).trim()));
    }
}
