package org.marjoramswitch.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Selects the targets to keep although the list read after an outage does not hold them.
 *
 * <p>An instance can't distinguish two kinds of outages directly. If the store was down, the entries of all targets
 * have expired, and live targets write them again within seconds: applying the list would empty every pool for that
 * time. If only this instance was disconnected, the list is correct, and a target that it does not hold has left: if
 * kept, it would get requests after its exit. In the first case most of a pool is missing, in the second a few targets.
 * The missing targets of a pool are therefore kept only if they are more than half of it; otherwise the listed ones
 * serve alone, and a live one is listed again soon.
 */
final class MissingTargetPolicy {
    private MissingTargetPolicy() {}

    /**
     * @param known the targets that were ready before the outage
     * @param listed all targets that the list holds now, ready or not
     */
    static Map<TargetId, TargetSettings> targetsToKeep(Map<TargetId, TargetSettings> known, Set<TargetId> listed) {
        Map<PoolId, Integer> all = new HashMap<>();
        Map<PoolId, Integer> missing = new HashMap<>();
        known.forEach((id, target) -> {
            all.merge(target.pool(), 1, Integer::sum);
            missing.merge(target.pool(), listed.contains(id) ? 0 : 1, Integer::sum);
        });
        Map<TargetId, TargetSettings> kept = new TreeMap<>();
        known.forEach((id, target) -> {
            boolean mostMissing = 2 * missing.getOrDefault(target.pool(), 0) > all.getOrDefault(target.pool(), 0);
            if (!listed.contains(id) && mostMissing) {
                kept.put(id, target);
            }
        });
        return kept;
    }
}
