package org.marjoramswitch.kernel.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.cell.ArbiterAssignment;
import org.marjoramswitch.kernel.cell.CellMap;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.ColdStart;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * One instance's current state of the fleet: settings, view, cells, arbiters, draining targets, evacuated data centres,
 * unreachable peers.
 */
public final class FleetState {
    private static final double DEFAULT_WEIGHT = 1.0;
    /** Exceeds the number of targets in a fleet, so that only entries of targets that have long exited are dropped. */
    private static final int MAX_SELF_REPORTED_LEAVING = 2_048;

    /** Shares of a cold target's request rate: a cell's arbiter and its stand-in may place requests at the same time. */
    private static final double ARBITER_COLD_SHARE = 0.75;

    private static final double STAND_IN_COLD_SHARE = 0.25;

    private final Set<InstanceId> unreachable = new TreeSet<>();
    /** The settings as accepted; {@link #settings} also contains cold starts that follow from evacuations. */
    private FleetSettings accepted = FleetSettings.NONE;

    private FleetSettings settings = FleetSettings.NONE;
    private FleetView view;
    private CellMap cells = CellMap.of(FleetSettings.NONE);
    private ArbiterAssignment assignment;
    private Set<TargetId> listedLeaving = Set.of();
    /**
     * Start times of targets that reported themselves as draining. A target does not revoke this, so the entry stays
     * valid regardless of the content and order of target lists.
     */
    private final Map<TargetId, Long> selfReportedLeaving = new LinkedHashMap<>();

    private Set<TargetId> leavingTargets = Set.of();
    private Evacuations evacuations = Evacuations.NONE;
    private final Map<DataCentreId, Long> readmittedAtMs = new HashMap<>();
    private final RecentMaximum recentSize = RecentMaximum.create();
    /** When instances left the view without having announced it. */
    private final Map<InstanceId, Long> lostAtMs = new TreeMap<>();

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

    /**
     * Draining targets: those in the target list, and those that reported it themselves and have not restarted since.
     */
    public Set<TargetId> leavingTargets() {
        return leavingTargets;
    }

    public Set<InstanceId> unreachable() {
        return unreachable;
    }

    /** Applies a new generation of settings; cells and arbiters are derived from it. */
    public void settings(FleetSettings newSettings) {
        accepted = newSettings;
        settings = withColdStarts(newSettings);
        updateLeavingTargets();
        cells = CellMap.of(settings);
        assignment = ArbiterAssignment.of(cells.cells(), view);
    }

    /** Adds the cold starts of targets whose data centres have been taken back, until their entries may show them. */
    private FleetSettings withColdStarts(FleetSettings newSettings) {
        if (readmittedAtMs.isEmpty()) {
            return newSettings;
        }
        Map<TargetId, TargetSettings> targets = new TreeMap<>();
        newSettings.targets().forEach((id, target) -> targets.put(id, withColdStart(newSettings, target)));
        return FleetSettings.of(newSettings.generation(), newSettings.customers(), newSettings.pools(), targets);
    }

    private TargetSettings withColdStart(FleetSettings newSettings, TargetSettings target) {
        Long readmitted = readmittedAtMs.get(target.dataCentre());
        PoolSettings pool = newSettings.pools().get(target.pool());
        if (readmitted == null || pool == null || pool.coldStart().durationMs() == 0) {
            return target;
        }
        long untilMs = Math.max(
                target.coldStart().untilMs(), readmitted + pool.coldStart().durationMs());
        return target.withColdStart(ColdStart.until(untilMs, pool.coldStart().requestsPerSecond()));
    }

    /** Applies a new membership view; arbiters are derived from it. */
    public void view(FleetView newView, long nowMs) {
        recentSize.record(view.members().size(), nowMs);
        recentSize.record(newView.members().size(), nowMs);
        recordLost(newView, nowMs);
        view = newView;
        unreachable.retainAll(newView.members().keySet());
        assignment = ArbiterAssignment.of(cells.cells(), newView);
    }

    /** The targets that the target list marks as draining. */
    public Set<TargetId> listedLeaving() {
        return listedLeaving;
    }

    /** Replaces the draining targets of the target list. */
    public void leavingTargets(Collection<TargetId> leaving) {
        listedLeaving = new TreeSet<>(leaving);
        updateLeavingTargets();
    }

    /** Records that a target reported itself as draining; false if this was known for the same start. */
    public boolean markDraining(TargetId target, long startedAtMs) {
        Long known = selfReportedLeaving.put(target, startedAtMs);
        if (selfReportedLeaving.size() > MAX_SELF_REPORTED_LEAVING) {
            selfReportedLeaving.remove(selfReportedLeaving.keySet().iterator().next());
        }
        boolean isNew = known == null || known != startedAtMs;
        if (isNew) {
            updateLeavingTargets();
        }
        return isNew;
    }

    public Evacuations evacuations() {
        return evacuations;
    }

    /**
     * Replaces the evacuated data centres if this list is newer; returns whether they have changed. Targets of a data
     * centre that is taken back count as cold: they may have turned cold during the evacuation, and their entries show
     * it only with their next heartbeat.
     */
    public boolean evacuations(Evacuations newest, long nowMs) {
        if (newest.revision() <= evacuations.revision()) {
            return false;
        }
        Set<DataCentreId> readmitted = new TreeSet<>(evacuations.dataCentres());
        readmitted.removeAll(newest.dataCentres());
        boolean changed = !newest.dataCentres().equals(evacuations.dataCentres());
        evacuations = newest;
        if (!readmitted.isEmpty()) {
            readmitted.forEach(dataCentre -> readmittedAtMs.put(dataCentre, nowMs));
            settings(accepted);
        }
        return changed;
    }

    /**
     * The share of a cold target's request rate that this instance may use as the cell's arbiter. The shares of all
     * instances that may act as one at the same time add up to no more than 1: those in parts of a partitioned fleet by
     * the instances that they reach, and the one that replaces a lagging arbiter by a fixed share.
     */
    public double coldStartShare(InstanceId self, CellId cell, long nowMs) {
        int size = view.members().size();
        long reachable = unreachable.isEmpty()
                ? size
                : size
                        - unreachable.stream()
                                .filter(view.members()::containsKey)
                                .count();
        double reachableShare = Math.min(1.0, Math.max(1, reachable) / (double) Math.max(1, recentSize.max(nowMs)));
        double roleShare = self.equals(assignedArbiter(cell)) ? ARBITER_COLD_SHARE : STAND_IN_COLD_SHARE;
        // Squared, since the other part of the fleet may not have detected the partition yet and use its full share.
        return roleShare * reachableShare * reachableShare;
    }

    /**
     * Whether this instance reaches more than half of the instances that the fleet has had recently or that are awaited.
     * In a smaller part the others may serve on without it.
     */
    public boolean reachesMajority(long nowMs) {
        long reached = view.members().keySet().stream()
                .filter(member -> !unreachable.contains(member))
                .count();
        int known = view.members().size() + view.awaited();
        return 2 * reached > Math.max(known, recentSize.max(nowMs));
    }

    /** Whether an instance has left the view within the last seconds without having announced it. */
    public boolean hasLostMembers(long nowMs) {
        return lostAtMs.values().stream().anyMatch(atMs -> nowMs - atMs < RecentMaximum.HOLD_MS);
    }

    private void recordLost(FleetView newView, long nowMs) {
        view.members().values().stream()
                .filter(member -> !member.leaving())
                .forEach(member -> lostAtMs.putIfAbsent(member.id(), nowMs));
        lostAtMs.values().removeIf(atMs -> nowMs - atMs >= RecentMaximum.HOLD_MS);
        lostAtMs.keySet().removeAll(newView.members().keySet());
    }

    /** Whether the target's data centre is evacuated. */
    public boolean isEvacuated(TargetSettings target) {
        return evacuations.dataCentres().contains(target.dataCentre());
    }

    /** Draining targets and those of evacuated data centres. */
    public Set<TargetId> unusableTargets() {
        Set<TargetId> unusable = new TreeSet<>(leavingTargets);
        settings.targets().values().stream().filter(this::isEvacuated).forEach(target -> unusable.add(target.id()));
        return unusable;
    }

    /** The targets of the cell that are neither draining nor in an evacuated data centre. */
    List<TargetId> usableTargets(CellId cell) {
        return cells.targets(cell).stream()
                .filter(target -> !isEvacuated(target) && !leavingTargets.contains(target.id()))
                .map(TargetSettings::id)
                .toList();
    }

    private void updateLeavingTargets() {
        Set<TargetId> all = new TreeSet<>(listedLeaving);
        selfReportedLeaving.forEach((target, startedAtMs) -> {
            TargetSettings current = settings.targets().get(target);
            if (current == null || current.startedAtMs() == startedAtMs) {
                all.add(target);
            }
        });
        leavingTargets = all;
    }

    /** Records whether this instance can reach the peer. */
    public void reachable(InstanceId peer, boolean isReachable) {
        if (isReachable) {
            unreachable.remove(peer);
            return;
        }
        unreachable.add(peer);
    }

    /** The arbiter that this instance uses for the cell: the first reachable one in rank. Null if there is none. */
    public @Nullable InstanceId arbiter(CellId cell) {
        return assignment.reachable(cell, unreachable);
    }

    /** The arbiter to use instead of one that is reachable but lags; null if there is none. */
    @Nullable
    InstanceId arbiterAfter(CellId cell, InstanceId lagging) {
        Set<InstanceId> excluded = new TreeSet<>(unreachable);
        excluded.add(lagging);
        return assignment.reachable(cell, excluded);
    }

    /** The reachable instances that may arbitrate the cell, in the order in which they replace one another. */
    public List<InstanceId> reachableRank(CellId cell) {
        return assignment.rank(cell).stream()
                .filter(instance -> !unreachable.contains(instance))
                .toList();
    }

    /** The arbiter that the view assigns to the cell, whether or not it is reachable from this instance. */
    public @Nullable InstanceId assignedArbiter(CellId cell) {
        return assignment.arbiter(cell);
    }

    /** The customer's weight; 1 if the settings no longer contain the customer. */
    public double weight(CustomerId customer) {
        CustomerSettings known = settings.customers().get(customer);
        return known == null ? DEFAULT_WEIGHT : known.weight();
    }
}
