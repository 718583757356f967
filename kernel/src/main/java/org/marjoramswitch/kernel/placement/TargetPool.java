package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** The targets of one cell that may be given work, what each keeps, and their order by cost. */
final class TargetPool {
    private final Map<TargetId, TargetLoad> byId = new TreeMap<>();
    private final PartHolders holders = new PartHolders();
    private final TargetOrder order = TargetOrder.create();
    private int slots;

    private TargetPool() {}

    static TargetPool create() {
        return new TargetPool();
    }

    /**
     * Sets the targets; those that stay keep what is known of them. Of one that has started again nothing holds any more: what
     * it kept, what ran there, how fast it was and how often it failed. Counted on, its slots would look taken by requests
     * that are gone, and prompts would be sent for parts that it has lost.
     */
    void targets(Collection<TargetSettings> settings, Set<TargetId> leaving) {
        Set<TargetId> named = new TreeSet<>();
        for (TargetSettings target : settings) {
            if (!leaving.contains(target.id())) {
                named.add(target.id());
                dropIfStartedAgain(target);
                byId.computeIfAbsent(target.id(), missing -> TargetLoad.create(target, holders))
                        .settings(target);
            }
        }
        byId.entrySet().removeIf(known -> {
            boolean gone = !named.contains(known.getKey());
            if (gone) {
                known.getValue().gone();
            }
            return gone;
        });
        slots = byId.values().stream()
                .mapToInt(target -> target.settings().slots())
                .sum();
        order.targets(byId.values());
    }

    private void dropIfStartedAgain(TargetSettings target) {
        TargetLoad known = byId.get(target.id());
        if (known != null && known.settings().startedAtMs() != target.startedAtMs()) {
            known.gone();
            byId.remove(target.id());
        }
    }

    /** The target, null where it is gone or has started again since {@code startedAtMs}. */
    @Nullable
    TargetLoad get(TargetId id, long startedAtMs) {
        TargetLoad known = byId.get(id);
        return known == null || known.settings().startedAtMs() != startedAtMs ? null : known;
    }

    /** The target as it is now, null where it is gone. */
    @Nullable
    TargetLoad get(TargetId id) {
        return byId.get(id);
    }

    Collection<TargetLoad> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    int size() {
        return byId.size();
    }

    /** The slots of all targets together. */
    int slots() {
        return slots;
    }

    PartHolders holders() {
        return holders;
    }

    TargetOrder order() {
        return order;
    }
}
