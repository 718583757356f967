package org.marjoramswitch.kernel.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;

class ArbiterAssignmentTest {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");

    /** Guards against arbiters on small instances while larger ones have none. */
    @Test
    void largeInstancesAreArbitersFirst() {
        FleetView view = view(360, 52, 1_500, 8);
        ArbiterAssignment assignment = ArbiterAssignment.of(cells(8), view);
        cells(8).forEach(cell -> assertEquals(1_500, processorOf(view, assignment.arbiter(cell))));
    }

    /** Guards against a fallback arbiter on a small instance when the assigned one is unreachable. */
    @Test
    void lostArbiterIsReplacedByAnotherLargeInstance() {
        FleetView view = view(360, 52, 1_500, 8);
        ArbiterAssignment assignment = ArbiterAssignment.of(cells(1), view);
        InstanceId lost = Objects.requireNonNull(assignment.arbiter(cells(1).get(0)));
        assertEquals(1_500, processorOf(view, assignment.reachable(cells(1).get(0), Set.of(lost))));
    }

    /** Guards against assigning all cells of a large fleet to its few large instances. */
    @Test
    void cellsAreSpreadByProcessor() {
        FleetView view = view(360, 342, 1_500, 8);
        Map<InstanceId, Integer> load = load(cells(160), view);
        load.forEach((instance, count) -> assertTrue(count <= (processorOf(view, instance) == 1_500 ? 2 : 1)));
    }

    /** Guards against uneven load among equal instances, with and without an announced processor. */
    @Test
    void equalInstancesHaveEqualLoad() {
        for (int millicores : new int[] {Member.UNKNOWN_PROCESSOR, 1_000}) {
            Map<InstanceId, Integer> load = load(cells(8), view(millicores, 9, millicores, 0));
            assertEquals(8, load.size());
        }
    }

    private static Map<InstanceId, Integer> load(List<CellId> cells, FleetView view) {
        ArbiterAssignment assignment = ArbiterAssignment.of(cells, view);
        Map<InstanceId, Integer> load = new HashMap<>();
        cells.forEach(cell -> load.merge(Objects.requireNonNull(assignment.arbiter(cell)), 1, Integer::sum));
        return load;
    }

    private static int processorOf(FleetView view, InstanceId instance) {
        return Objects.requireNonNull(view.member(instance)).processorMillicores();
    }

    private static List<CellId> cells(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> CellId.of(PoolId.of("pool"), index))
                .toList();
    }

    private static FleetView view(int millicores, int count, int largeMillicores, int largeCount) {
        List<Integer> processors = new ArrayList<>(Collections.nCopies(count, millicores));
        processors.addAll(Collections.nCopies(largeCount, largeMillicores));
        return FleetView.of(IntStream.range(0, processors.size())
                .mapToObj(index -> Member.of(InstanceId.of("instance-" + index), 1, DATA_CENTRE, false)
                        .withProcessor(processors.get(index)))
                .toList());
    }
}
