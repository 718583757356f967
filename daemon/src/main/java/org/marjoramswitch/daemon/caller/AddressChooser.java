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
 * Chooses the instances that a customer's callers are sent to.
 *
 * <p>Rendezvous hashing: each instance gets a score from its name and the customer's, and the highest scores win. Every
 * instance computes the same order without asking another, and an instance that joins or leaves moves only the
 * customers whose highest scores it holds. A customer on few instances means that each instance queues for few pools
 * and opens few links to arbiters.
 *
 * <p>The load factor says how many instances the customer's work needs. That many lead the answer and take turns at its
 * head, so that callers spread over them; {@value #SPARES} more follow for a caller that cannot reach those.
 *
 * <p>Example: scores order the instances c, a, d, b and the factor is 1.4. Two lead: even turns answer c, a, d, b and
 * odd ones a, c, d, b. With a factor of 1 the answer is always c, a, d.
 *
 * <p>Cost: one hash for each instance and a sort.
 */
final class AddressChooser {
    static final int SPARES = 2;

    private AddressChooser() {}

    /** @param turn any number; successive ones rotate the instances that lead */
    static List<InstanceDirectory.Entry> choose(
            List<InstanceDirectory.Entry> eligible, CustomerId customer, double loadFactor, long turn) {
        Map<InstanceId, InstanceDirectory.Entry> byInstance = new HashMap<>();
        eligible.forEach(entry -> byInstance.put(entry.instance(), entry));
        List<InstanceDirectory.Entry> ranked = new ArrayList<>();
        for (InstanceId instance : Rendezvous.rank(customer.name(), byInstance.keySet())) {
            ranked.add(Objects.requireNonNull(byInstance.get(instance)));
        }
        int leading = (int) Math.min(ranked.size(), Math.max(1, Math.ceil(loadFactor)));
        if (leading > 1) {
            Collections.rotate(ranked.subList(0, leading), -(int) Math.floorMod(turn, (long) leading));
        }
        return List.copyOf(ranked.subList(0, Math.min(ranked.size(), leading + SPARES)));
    }
}
