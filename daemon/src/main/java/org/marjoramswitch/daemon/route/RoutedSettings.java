package org.marjoramswitch.daemon.route;

import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * A version of the routed settings, which the operators accept before they write them to the key-value store.
 *
 * @param version increases with every change
 * @param priorities the priorities of customers that have their own, which override those of the routes
 * @param memories the memory of each engine in a pool, for pools whose engine memory is known
 * @param keyRequired whether callers of routes that are not open need an API key
 */
public record RoutedSettings(
        long version,
        RouteTable routes,
        Map<PoolId, PoolSettings> pools,
        Map<PoolId, EngineMemory> memories,
        Map<CustomerId, CustomerSettings> customers,
        Map<CustomerId, Integer> priorities,
        boolean keyRequired,
        CallerLimits limits) {
    public static final RoutedSettings NONE = new RoutedSettings(
            0, RouteTable.EMPTY, Map.of(), Map.of(), Map.of(), Map.of(), false, CallerLimits.DEFAULT);
}
