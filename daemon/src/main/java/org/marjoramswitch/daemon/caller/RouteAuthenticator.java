package org.marjoramswitch.daemon.caller;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.model.CustomerId;

/** Tells whose request it is by its API key, under one version of routed settings. */
final class RouteAuthenticator {
    private volatile Versioned index = new Versioned(0, ApiKeyIndex.of(0, java.util.Map.of()));

    /** The key's customer, null for an unknown key or none. */
    @Nullable
    CustomerId customer(RoutedSettings settings, @Nullable String authorization) {
        Versioned known = index;
        if (known.version() != settings.version()) {
            // Two threads may both build it, which costs a moment once a version.
            known = new Versioned(settings.version(), ApiKeyIndex.of(settings.version(), settings.customers()));
            index = known;
        }
        return known.keys().customer(authorization);
    }

    private record Versioned(long version, ApiKeyIndex keys) {}
}
