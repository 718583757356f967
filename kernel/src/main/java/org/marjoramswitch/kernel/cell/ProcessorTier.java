package org.marjoramswitch.kernel.cell;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * The eligible instances with the most processor: all that have at least half of the largest one's.
 *
 * <p>Instances that have not announced their processor count as the smallest, and as equal to one another.
 */
final class ProcessorTier {
    private static final int LEAST_MILLICORES = 1;
    /** Members of the tier have at least the largest processor divided by this. */
    private static final int DIVISOR = 2;

    private final Map<InstanceId, Integer> millicoresById;
    private final Set<InstanceId> instances = new TreeSet<>();
    private final long totalMillicores;

    private ProcessorTier(Map<InstanceId, Integer> millicoresById) {
        this.millicoresById = millicoresById;
        int largest = millicoresById.isEmpty() ? LEAST_MILLICORES : Collections.max(millicoresById.values());
        millicoresById.forEach((instance, millicores) -> {
            if (DIVISOR * millicores >= largest) {
                instances.add(instance);
            }
        });
        this.totalMillicores =
                millicoresById.values().stream().mapToLong(Integer::longValue).sum();
    }

    /** Instances that leave the fleet are not eligible. */
    static ProcessorTier of(FleetView view) {
        Map<InstanceId, Integer> millicoresById = new TreeMap<>();
        for (Member member : view.members().values()) {
            if (!member.leaving()) {
                millicoresById.put(member.id(), Math.max(LEAST_MILLICORES, member.processorMillicores()));
            }
        }
        return new ProcessorTier(millicoresById);
    }

    /** All eligible instances, those below the tier included. */
    Set<InstanceId> eligible() {
        return millicoresById.keySet();
    }

    boolean contains(InstanceId instance) {
        return instances.contains(instance);
    }

    /** Of so many duties, those that are an instance's by its processor, rounded up. */
    long quota(InstanceId instance, int duties) {
        return (duties * millicores(instance) + totalMillicores - 1) / totalMillicores;
    }

    private long millicores(InstanceId instance) {
        return millicoresById.getOrDefault(instance, 0);
    }
}
