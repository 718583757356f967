package org.marjoramswitch.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.platform.FleetList.ListedInstance;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

class FleetDirectoryTest {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    private static final HostPort ADDRESS = HostPort.of("10.0.0.1", 8080);
    private static final int SMALL = 360;
    private static final int LARGE = 1_500;

    /** Guards against a customer whose callers all keep to one instance being limited by the smallest one's processor. */
    @Test
    void namesLargeInstancesWhereTheyCarryTheCallers() {
        assertEquals(8, directory(52, 8).eligible().size());
    }

    @Test
    void namesAllInstancesWhereTheyAreEqual() {
        assertEquals(9, directory(9, 0).eligible().size());
    }

    /** Guards against a few large instances being given more callers than they can carry. */
    @Test
    void namesAllInstancesWhereTheLargeOnesAreFew() {
        assertEquals(61, directory(60, 1).eligible().size());
        assertEquals(62, directory(60, 2).eligible().size());
    }

    /** Guards against an empty answer where the list of instances lacks the large ones. */
    @Test
    void namesSmallInstancesWhereTheLargeOnesHaveNoAddress() {
        FleetDirectory directory = directory(52, 8);
        directory.setListed(listed(52));
        assertEquals(52, directory.eligible().size());
    }

    private static FleetDirectory directory(int small, int large) {
        List<Integer> processors = new ArrayList<>(Collections.nCopies(small, SMALL));
        processors.addAll(Collections.nCopies(large, LARGE));
        List<Member> members = new ArrayList<>();
        for (int millicores : processors) {
            members.add(
                    Member.of(instance(members.size()), 1, DATA_CENTRE, false).withProcessor(millicores));
        }
        FleetDirectory directory = FleetDirectory.of(members.get(0), ADDRESS, (customer, eligible) -> 1, view -> {});
        directory.setMembers(FleetView.of(members));
        directory.setListed(listed(members.size()));
        return directory;
    }

    private static Map<InstanceId, ListedInstance> listed(int count) {
        Map<InstanceId, ListedInstance> listed = new HashMap<>();
        for (int i = 0; i < count; i++) {
            listed.put(instance(i), new ListedInstance(ADDRESS, ADDRESS, DATA_CENTRE, false));
        }
        return listed;
    }

    private static InstanceId instance(int index) {
        return InstanceId.of("instance-" + index);
    }
}
