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
 * The eligible instances that have at least half the processor capacity of the largest one.
 *
 * <p>Instances that have not announced their capacity count as the smallest and as equal to each other.
 */
final class ProcessorTier {
    private static final int MIN_MILLICORES = 1;
    /** Members of the tier have at least the largest capacity divided by this number. */
    private static final int TIER_DIVISOR = 2;

    private final Map<InstanceId, Integer> millicoresById;
    private final Set<InstanceId> instances = new TreeSet<>();
    private final long totalMillicores;

    private ProcessorTier(Map<InstanceId, Integer> millicoresById) {
        this.millicoresById = millicoresById;
        int largest = millicoresById.isEmpty() ? MIN_MILLICORES : Collections.max(millicoresById.values());
        millicoresById.forEach((instance, millicores) -> {
            if (TIER_DIVISOR * millicores >= largest) {
                instances.add(instance);
            }
        });
        this.totalMillicores =
                millicoresById.values().stream().mapToLong(Integer::longValue).sum();
    }

    /** Creates the tier of a view; draining instances are not eligible. */
    static ProcessorTier of(FleetView view) {
        Map<InstanceId, Integer> millicoresById = new TreeMap<>();
        for (Member member : view.members().values()) {
            if (!member.leaving()) {
                millicoresById.put(member.id(), Math.max(MIN_MILLICORES, member.processorMillicores()));
            }
        }
        return new ProcessorTier(millicoresById);
    }

    /** Returns all eligible instances, including those below the tier. */
    Set<InstanceId> eligible() {
        return millicoresById.keySet();
    }

    boolean contains(InstanceId instance) {
        return instances.contains(instance);
    }

    /** Returns an instance's share of {@code cells} in proportion to its processor, rounded up. */
    long quota(InstanceId instance, int cells) {
        return (cells * millicores(instance) + totalMillicores - 1) / totalMillicores;
    }

    private long millicores(InstanceId instance) {
        return millicoresById.getOrDefault(instance, 0);
    }
}
