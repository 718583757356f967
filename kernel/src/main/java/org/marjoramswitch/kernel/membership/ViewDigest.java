package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Digests of a view in a fixed number of buckets, so that two members compare their views at a constant cost and
 * exchange only the buckets that differ. A bucket's digest is the sum of its members' hashes and thus independent of
 * their order.
 */
final class ViewDigest {
    static final int BUCKETS = 16;

    private static final int FACTOR = 0x9E3779B1;

    private final int[] sums = new int[BUCKETS];

    /** Returns the bucket of a member; must be the same on every instance and version. */
    static int bucket(InstanceId id) {
        return (id.name().hashCode() * FACTOR) >>> (Integer.SIZE - 4);
    }

    void add(InstanceId id, long incarnation, long revision) {
        int hash = id.name().hashCode();
        hash = hash * FACTOR + Long.hashCode(incarnation);
        hash = hash * FACTOR + Long.hashCode(revision);
        sums[bucket(id)] += (hash ^ (hash >>> 15)) * FACTOR;
    }

    List<Integer> digests() {
        List<Integer> digests = new ArrayList<>(BUCKETS);
        for (int sum : sums) {
            digests.add(sum);
        }
        return digests;
    }

    /**
     * Returns a bit mask of the buckets that differ; all of them if the other side uses another number of buckets.
     */
    int differences(List<Integer> others) {
        if (others.size() != BUCKETS) {
            return (1 << BUCKETS) - 1;
        }
        int differences = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (others.get(bucket) != sums[bucket]) {
                differences |= 1 << bucket;
            }
        }
        return differences;
    }
}
