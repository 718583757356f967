package org.marjoramswitch.daemon.route;

import java.util.Map;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * One version of settings that the operators have accepted already.
 *
 * @param version grows with every change
 * @param priorities of the customers that have one of their own, which goes before their route's
 * @param memories of each engine of a pool, for the pools whose engines' memory is known
 * @param keyRequired whether callers need a key at all
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
