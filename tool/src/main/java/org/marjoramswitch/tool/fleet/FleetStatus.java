package org.marjoramswitch.tool.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.cell.ArbiterAssignment;
import org.marjoramswitch.kernel.cell.CellMap;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Status of the instances, targets and arbiters.
 *
 * @param generation generation of the accepted settings in the key-value store
 */
public record FleetStatus(
        long generation, List<InstanceStatus> instances, List<TargetStatus> targets, List<CellStatus> cells) {

    /** @param listed the state in the platform's list; empty if the target is not listed */
    public record TargetStatus(
            String target, String pool, String address, String dataCentre, int slots, String listed, String cell) {}

    /** @param arbiter computed as the instances do, from the reachable instances that are not draining */
    public record CellStatus(String cell, int targets, String arbiter) {}

    public static FleetStatus of(
            FleetSettings settings, List<InstanceStatus> instances, Map<String, String> targetStates) {
        CellMap cells = CellMap.of(settings);
        List<TargetStatus> targets = settings.targets().values().stream()
                .map(target -> target(target, cells, targetStates))
                .toList();
        return new FleetStatus(settings.generation(), instances, targets, cells(cells, instances));
    }

    private static TargetStatus target(TargetSettings target, CellMap cells, Map<String, String> states) {
        CellId cell = cells.cellOf(target.id());
        return new TargetStatus(
                target.id().name(),
                target.pool().name(),
                target.host() + ":" + target.port(),
                target.dataCentre().name(),
                target.slots(),
                states.getOrDefault(target.id().name(), ""),
                cell == null ? "" : cell.toString());
    }

    private static List<CellStatus> cells(CellMap cells, List<InstanceStatus> instances) {
        List<Member> members = new ArrayList<>();
        for (InstanceStatus instance : instances) {
            if (instance.reachable()) {
                boolean leaving = instance.listed().equals("leaving");
                members.add(Member.of(
                                InstanceId.of(instance.instance()), 0, DataCentreId.of(instance.dataCentre()), leaving)
                        .withProcessor(instance.processorMillicores()));
            }
        }
        ArbiterAssignment arbiters = ArbiterAssignment.of(cells.cells(), FleetView.of(members));
        return cells.cells().stream()
                .map(cell ->
                        new CellStatus(cell.toString(), cells.targets(cell).size(), nameOf(arbiters.arbiter(cell))))
                .toList();
    }

    private static String nameOf(@Nullable InstanceId arbiter) {
        return arbiter == null ? "none" : arbiter.name();
    }
}
