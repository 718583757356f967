package org.marjoramswitch.kernel.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Selects the arbiter of each cell by bounded-load rendezvous hashing among the instances with the most processor
 * capacity.
 *
 * <p>Every request of a cell passes through its arbiter, so an arbiter that runs out of processor time stalls the cell
 * for all customers while its targets idle. Each cell therefore ranks the eligible instances by rendezvous weight,
 * those of the {@link ProcessorTier} before all others, and takes the first one that has fewer cells than its quota:
 * its processor's share of all cells, rounded up. Plain rendezvous hashing would give one of 9 equal instances three of
 * 8 cells.
 *
 * <p>Example: 52 instances of 360 millicores, 8 of 1,500 and 2 cells. The share of a large instance is 0.1 of a cell,
 * rounded up to 1, so two of the large ones are arbiters.
 *
 * <p>Correctness: the result depends only on the membership view and the cells, so equal views give equal arbiters.
 * Different views may give two arbiters for a cell. Only the entry starts requests, each at most once, so two arbiters
 * may over-admit for a while but run nothing twice. An entry that cannot reach a cell's arbiter uses the next reachable
 * instance in that cell's rank, see {@link #reachable}, so all entries that lost the same arbiter use the same
 * fallback.
 *
 * <p>Cost: one hash per cell and instance on a change of view; 160 cells and 350 instances are 56,000 hashes.
 */
public final class ArbiterAssignment {
    private final Map<CellId, List<InstanceId>> rankByCell = new TreeMap<>();
    private final Map<CellId, InstanceId> arbiterByCell = new TreeMap<>();

    private ArbiterAssignment() {}

    public static ArbiterAssignment of(Collection<CellId> cells, FleetView view) {
        ArbiterAssignment assignment = new ArbiterAssignment();
        ProcessorTier tier = ProcessorTier.of(view);
        if (!tier.eligible().isEmpty()) {
            assignment.assign(cells, tier);
        }
        return assignment;
    }

    /** Returns the cell's arbiter, null if no instance is eligible. */
    public @Nullable InstanceId arbiter(CellId cell) {
        return arbiterByCell.get(cell);
    }

    /**
     * Returns the cell's arbiter or, if that is unreachable, the first reachable instance in the cell's rank, or null.
     */
    public @Nullable InstanceId reachable(CellId cell, Collection<InstanceId> unreachable) {
        InstanceId arbiter = arbiterByCell.get(cell);
        if (arbiter == null || !unreachable.contains(arbiter)) {
            return arbiter;
        }
        return rank(cell).stream()
                .filter(instance -> !unreachable.contains(instance))
                .findFirst()
                .orElse(null);
    }

    /** Returns the instances that may arbitrate the cell, in the order in which they replace one another. */
    public List<InstanceId> rank(CellId cell) {
        return rankByCell.getOrDefault(cell, List.of());
    }

    private void assign(Collection<CellId> cells, ProcessorTier tier) {
        Map<InstanceId, Integer> load = new HashMap<>();
        for (CellId cell : cells) {
            List<InstanceId> rank = rankIn(tier, cell);
            rankByCell.put(cell, rank);
            InstanceId arbiter = rank.stream()
                    .filter(instance -> load.getOrDefault(instance, 0) < tier.quota(instance, cells.size()))
                    .findFirst()
                    .orElse(rank.get(0));
            load.merge(arbiter, 1, Integer::sum);
            arbiterByCell.put(cell, arbiter);
        }
    }

    private static List<InstanceId> rankIn(ProcessorTier tier, CellId cell) {
        List<InstanceId> rank = new ArrayList<>(Rendezvous.rank(cell.toString(), tier.eligible()));
        rank.sort(Comparator.comparing(instance -> !tier.contains(instance)));
        return rank;
    }
}
