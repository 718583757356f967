package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Selects the instances that a customer's callers connect to.
 *
 * <p>Uses rendezvous hashing: each instance gets a score from its name and the customer's, and the highest scores win.
 * Every instance computes the same order without communication, and an instance that joins or leaves moves only the
 * customers for which it has the highest scores. Few instances per customer mean that each instance queues for few
 * pools and opens few links to arbiters.
 *
 * <p>The load factor is the number of instances that the customer's load needs. That many instances come first, rotated
 * round-robin so that callers spread over them; {@value #SPARES} more follow for callers that cannot reach those.
 *
 * <p>Example: the scores order the instances c, a, d, b and the factor is 1.4. Two instances come first: even rotations
 * yield c, a, d, b and odd ones a, c, d, b. With a factor of 1 the result is always c, a, d.
 *
 * <p>Cost: one hash per instance and a sort.
 */
final class AddressChooser {
    static final int SPARES = 2;

    private AddressChooser() {}

    /** @param rotation any number; successive numbers rotate the instances that come first */
    static List<InstanceDirectory.Entry> choose(
            List<InstanceDirectory.Entry> eligible, CustomerId customer, double loadFactor, long rotation) {
        Map<InstanceId, InstanceDirectory.Entry> byInstance = new HashMap<>();
        eligible.forEach(entry -> byInstance.put(entry.instance(), entry));
        List<InstanceDirectory.Entry> ranked = new ArrayList<>();
        for (InstanceId instance : Rendezvous.rank(customer.name(), byInstance.keySet())) {
            ranked.add(Objects.requireNonNull(byInstance.get(instance)));
        }
        int primaryCount = (int) Math.min(ranked.size(), Math.max(1, Math.ceil(loadFactor)));
        if (primaryCount > 1) {
            Collections.rotate(ranked.subList(0, primaryCount), -(int) Math.floorMod(rotation, (long) primaryCount));
        }
        return List.copyOf(ranked.subList(0, Math.min(ranked.size(), primaryCount + SPARES)));
    }
}
