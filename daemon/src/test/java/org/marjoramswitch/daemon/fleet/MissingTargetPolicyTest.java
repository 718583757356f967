package org.marjoramswitch.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

class MissingTargetPolicyTest {
    private static final Map<TargetId, TargetSettings> PREVIOUS = targets("a1", "a2", "a3", "a4", "b1", "b2");

    /** The store was down and every entry has expired: callers must still be served until the entries are back. */
    @Test
    void targetsOfACompletelyMissingPoolAreKept() {
        assertEquals(PREVIOUS, MissingTargetPolicy.targetsToKeep(PREVIOUS, Set.of()));
    }

    /**
     * Only this instance was disconnected: a target that left in the meantime gets no request after the list was read.
     */
    @Test
    void fewMissingTargetsAreNotKept() {
        assertEquals(Map.of(), MissingTargetPolicy.targetsToKeep(PREVIOUS, ids("a1", "a2", "a3", "b1")));
    }

    @Test
    void eachPoolIsDecidedIndependently() {
        assertEquals(
                Set.of(TargetId.of("b1"), TargetId.of("b2")),
                MissingTargetPolicy.targetsToKeep(PREVIOUS, ids("a1", "a2", "a3"))
                        .keySet());
    }

    private static Set<TargetId> ids(String... names) {
        return targets(names).keySet();
    }

    private static Map<TargetId, TargetSettings> targets(String... names) {
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        for (String name : names) {
            TargetId id = TargetId.of(name);
            PoolId pool = PoolId.of(name.substring(0, 1));
            targets.put(id, new TargetSettings(id, pool, "10.0.0.1", 80, DataCentreId.of("dc"), 4, false));
        }
        return targets;
    }
}
