package org.marjoramswitch.kernel.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Maps targets to cells, as a function of one generation of settings.
 *
 * <p>A pool's targets, in the order of their names, are assigned round-robin to as few cells as the pool's cell size
 * allows: 8 targets and a cell size of 3 give cells of 3, 3 and 2. Cell sizes therefore differ by at most one target. A
 * target that is added or removed moves others between cells, which costs only re-registrations; settings rarely
 * change.
 */
public final class CellMap {
    private final Map<PoolId, List<CellId>> cellsByPool = new TreeMap<>();
    private final Map<CellId, List<TargetSettings>> targetsByCell = new TreeMap<>();
    private final Map<TargetId, CellId> cellByTarget = new TreeMap<>();

    private CellMap() {}

    public static CellMap of(FleetSettings settings) {
        CellMap map = new CellMap();
        for (PoolSettings pool : settings.pools().values()) {
            List<TargetSettings> targets = settings.targets().values().stream()
                    .filter(target -> target.pool().equals(pool.id()))
                    .toList();
            map.assignRoundRobin(pool, targets);
        }
        return map;
    }

    /** Returns the pool's cells; empty if the pool has no targets or is unknown. */
    public List<CellId> cells(PoolId pool) {
        return cellsByPool.getOrDefault(pool, List.of());
    }

    /** Returns the cells of all pools, in order. */
    public List<CellId> cells() {
        return List.copyOf(targetsByCell.keySet());
    }

    public List<TargetSettings> targets(CellId cell) {
        return targetsByCell.getOrDefault(cell, List.of());
    }

    public @Nullable CellId cellOf(TargetId target) {
        return cellByTarget.get(target);
    }

    private void assignRoundRobin(PoolSettings pool, List<TargetSettings> targets) {
        int count = (targets.size() + pool.cellTargets() - 1) / pool.cellTargets();
        List<CellId> cells = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            CellId cell = CellId.of(pool.id(), index);
            cells.add(cell);
            targetsByCell.put(cell, new ArrayList<>());
        }
        for (int i = 0; i < targets.size(); i++) {
            CellId cell = cells.get(i % count);
            targetsOf(cell).add(targets.get(i));
            cellByTarget.put(targets.get(i).id(), cell);
        }
        cellsByPool.put(pool.id(), Collections.unmodifiableList(cells));
    }

    private List<TargetSettings> targetsOf(CellId cell) {
        return targetsByCell.computeIfAbsent(cell, missing -> new ArrayList<>());
    }
}
