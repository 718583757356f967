package org.marjoramswitch.kernel.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Selects the instances that accept settings: a few in each data centre, by rendezvous hashing. Instances with
 * different membership views may temporarily select different acceptors; this is harmless because acceptors write by
 * compare-and-swap.
 */
public final class AcceptorRoles {
    private static final String ROLE = "settings-acceptor";

    private AcceptorRoles() {}

    /** The acceptors in a view, ordered by data centre. Leaving members are not selected. */
    public static List<InstanceId> acceptors(FleetView view, int perDataCentre) {
        SortedMap<DataCentreId, List<InstanceId>> byDataCentre = new TreeMap<>();
        view.members().values().stream()
                .filter(member -> !member.leaving())
                .forEach(member -> byDataCentre
                        .computeIfAbsent(member.dataCentre(), dataCentre -> new ArrayList<>())
                        .add(member.id()));
        return byDataCentre.values().stream()
                .flatMap(members -> Rendezvous.rank(ROLE, members).stream().limit(perDataCentre))
                .toList();
    }

    /**
     * The number of acceptors that are to process a change before this one; 0 for the first. The order depends on the
     * change, which distributes the work over the acceptors.
     *
     * @param change an identifier of the change that is the same on every acceptor
     */
    public static int rank(List<InstanceId> acceptors, InstanceId self, String change) {
        return Math.max(0, Rendezvous.rank(change, acceptors).indexOf(self));
    }
}
