package org.marjoramswitch.daemon.caller;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.CustomerSettings;

/** API keys of the current settings, indexed on the first request of each generation. Thread-safe. */
final class ApiKeys {
    private volatile ApiKeyIndex index = ApiKeyIndex.of(0, Map.of());

    private ApiKeys() {}

    static ApiKeys create() {
        return new ApiKeys();
    }

    /**
     * Returns the key's customer; null if there is no key or it is uncurrent.
     *
     * @param authorization the value of the Authorization header
     */
    @Nullable
    CustomerId customer(long generation, Map<CustomerId, CustomerSettings> customers, @Nullable String authorization) {
        ApiKeyIndex current = index;
        if (!current.isOf(generation)) {
            // Two threads may both build the index, which costs little and happens once per generation.
            current = ApiKeyIndex.of(generation, customers);
            index = current;
        }
        return current.customer(authorization);
    }
}
