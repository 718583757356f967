package org.marjoramswitch.daemon.caller;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.CustomerSettings;

/** The customers' API keys in force; their index is built with the first request of each generation of settings. */
final class ApiKeys {
    private volatile ApiKeyIndex index = ApiKeyIndex.of(0, Map.of());

    private ApiKeys() {}

    static ApiKeys create() {
        return new ApiKeys();
    }

    /**
     * The key's customer, null for an unknown key or none.
     *
     * @param authorization the value of the Authorization header
     */
    @Nullable
    CustomerId customer(long generation, Map<CustomerId, CustomerSettings> customers, @Nullable String authorization) {
        ApiKeyIndex known = index;
        if (!known.isOf(generation)) {
            // Two threads may both build it, which costs a moment once a generation.
            known = ApiKeyIndex.of(generation, customers);
            index = known;
        }
        return known.customer(authorization);
    }
}
