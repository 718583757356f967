package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.cell.ArbiterAssignment;
import org.marjoramswitch.kernel.cell.CellMap;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** What one instance holds of the fleet now: settings, view, cells, arbiters, leaving targets, broken links. */
public final class FleetState {
    private static final double DEFAULT_WEIGHT = 1.0;
    /** Above the targets of a fleet, so that what is dropped is long gone. */
    private static final int MOST_SAID_LEAVING = 2_048;

    private final Set<InstanceId> unreachable = new TreeSet<>();
    private FleetSettings settings = FleetSettings.NONE;
    private FleetView view;
    private CellMap cells = CellMap.of(FleetSettings.NONE);
    private ArbiterAssignment assignment;
    private Set<TargetId> listedLeaving = Set.of();
    /** By the start that said so. A target never takes it back, so it is kept whatever lists say and when they come. */
    private final Map<TargetId, Long> saidLeaving = new LinkedHashMap<>();

    private Set<TargetId> leavingTargets = Set.of();

    private FleetState(FleetView view) {
        this.view = view;
        this.assignment = ArbiterAssignment.of(cells.cells(), view);
    }

    public static FleetState of(FleetView view) {
        return new FleetState(view);
    }

    public FleetSettings settings() {
        return settings;
    }

    public FleetView view() {
        return view;
    }

    public CellMap cells() {
        return cells;
    }

    /** Those that a list names, and those that have said so themselves and have not started again since. */
    public Set<TargetId> leavingTargets() {
        return leavingTargets;
    }

    public Set<InstanceId> unreachable() {
        return unreachable;
    }

    public void settings(FleetSettings newSettings) {
        settings = newSettings;
        joinLeaving();
        cells = CellMap.of(newSettings);
        assignment = ArbiterAssignment.of(cells.cells(), view);
    }

    public void view(FleetView newView) {
        view = newView;
        unreachable.retainAll(newView.members().keySet());
        assignment = ArbiterAssignment.of(cells.cells(), newView);
    }

    /** Those that a list names, alone. */
    public Set<TargetId> listedLeaving() {
        return listedLeaving;
    }

    public void leavingTargets(Collection<TargetId> leaving) {
        listedLeaving = new TreeSet<>(leaving);
        joinLeaving();
    }

    /** A target has said that it leaves; false where that is known. */
    public boolean markDraining(TargetId target, long startedAtMs) {
        Long known = saidLeaving.put(target, startedAtMs);
        if (saidLeaving.size() > MOST_SAID_LEAVING) {
            saidLeaving.remove(saidLeaving.keySet().iterator().next());
        }
        boolean news = known == null || known != startedAtMs;
        if (news) {
            joinLeaving();
        }
        return news;
    }

    private void joinLeaving() {
        Set<TargetId> all = new TreeSet<>(listedLeaving);
        saidLeaving.forEach((target, startedAtMs) -> {
            TargetSettings now = settings.targets().get(target);
            if (now == null || now.startedAtMs() == startedAtMs) {
                all.add(target);
            }
        });
        leavingTargets = all;
    }

    public void reachable(InstanceId peer, boolean isReachable) {
        if (isReachable) {
            unreachable.remove(peer);
            return;
        }
        unreachable.add(peer);
    }

    /** The arbiter that this instance turns to for the cell. */
    public @Nullable InstanceId arbiter(CellId cell) {
        return assignment.reachable(cell, unreachable);
    }

    /** The arbiter to turn to in place of one that can be reached but lags; null where there is none. */
    @Nullable
    InstanceId arbiterAfter(CellId cell, InstanceId lagging) {
        Set<InstanceId> excluded = new TreeSet<>(unreachable);
        excluded.add(lagging);
        return assignment.reachable(cell, excluded);
    }

    /** The arbiter that the view names for the cell, whether it can be reached from here or not. */
    public @Nullable InstanceId assignedArbiter(CellId cell) {
        return assignment.arbiter(cell);
    }

    /** The customer's weight; 1 where the settings do not know the customer any more. */
    public double weight(CustomerId customer) {
        CustomerSettings known = settings.customers().get(customer);
        return known == null ? DEFAULT_WEIGHT : known.weight();
    }
}
