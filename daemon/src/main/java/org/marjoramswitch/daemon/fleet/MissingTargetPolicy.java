package org.marjoramswitch.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Which targets are to be targetsToKeep though the list that was read after an outage does not name them.
 *
 * <p>Two outages look alike from an instance. Where the service was away, the entries of all targets have lapsed, and
 * those that live write them again within seconds: taken at its word, the list would empty every pool for that time.
 * Where only this instance was cut off, the list is right, and a target that it does not name has left: targetsToKeep, it would
 * get requests after its end. In the first case most of a pool is missing, in the second a few. So the missing targets
 * of a pool are targetsToKeep only where they are more than half of it; otherwise those that are listed carry on alone, and one
 * that lives is back soon.
 */
final class MissingTargetPolicy {
    private MissingTargetPolicy() {}

    /**
     * @param known the targets that were ready before the outage
     * @param listed all that the list names now, ready or not
     */
    static Map<TargetId, TargetSettings> targetsToKeep(Map<TargetId, TargetSettings> known, Set<TargetId> listed) {
        Map<PoolId, Integer> all = new HashMap<>();
        Map<PoolId, Integer> missing = new HashMap<>();
        known.forEach((id, target) -> {
            all.merge(target.pool(), 1, Integer::sum);
            missing.merge(target.pool(), listed.contains(id) ? 0 : 1, Integer::sum);
        });
        Map<TargetId, TargetSettings> targetsToKeep = new TreeMap<>();
        known.forEach((id, target) -> {
            boolean mostAreMissing = 2 * missing.getOrDefault(target.pool(), 0) > all.getOrDefault(target.pool(), 0);
            if (!listed.contains(id) && mostAreMissing) {
                targetsToKeep.put(id, target);
            }
        });
        return targetsToKeep;
    }
}
