package org.marjoramswitch.kernel.addresses;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.marjoramswitch.kernel.model.InstanceId;

/** How the responses to the callers of one data centre are drawn. Immutable. */
final class ResponsePlan {
    /** Callers of one response do not all depend on few instances. */
    private static final int MIN_ADDRESSES = 8;
    /** As {@link #MIN_ADDRESSES}, for fleets in which this is more. */
    private static final double MIN_CAPACITY_SHARE = 1.0 / 3;

    private final WeightedDraw local;
    private final WeightedDraw others;
    private final double localShare;
    private final int size;

    private ResponsePlan(WeightedDraw local, WeightedDraw others, double localShare, int maxAddresses) {
        this.local = local;
        this.others = others;
        this.localShare = local.size() == 0 ? 0 : others.size() == 0 ? 1 : localShare;
        this.size = size(maxAddresses);
    }

    /** @param localShare share of the response that is drawn from the caller's data centre */
    static ResponsePlan of(WeightedDraw local, WeightedDraw others, double localShare, int maxAddresses) {
        return new ResponsePlan(local, others, localShare, maxAddresses);
    }

    /**
     * Returns the largest size at which each instance is listed in proportion to its weight, within the bounds. The
     * lower bound of the listed capacity refers to the data centres from which most of the response is drawn: a third
     * of the whole fleet's capacity would make callers cross between data centres without need.
     */
    private int size(int maxAddresses) {
        double proportional = Math.min(
                localShare > 0 ? local.largestProportionalSize() / localShare : maxAddresses,
                localShare < 1 ? others.largestProportionalSize() / (1 - localShare) : maxAddresses);
        boolean isMostlyLocal = localShare >= 1 - localShare;
        double larger = isMostlyLocal ? localShare : 1 - localShare;
        int least = (int) (Math.min(proportional, maxAddresses) * larger);
        double forCapacity = (isMostlyLocal ? local : others).sizeForCapacity(MIN_CAPACITY_SHARE, least) / larger;
        double wanted = Math.max(Math.max(Math.floor(proportional), Math.ceil(forCapacity)), MIN_ADDRESSES);
        return (int) Math.min(Math.min(wanted, maxAddresses), local.size() + others.size());
    }

    /** Draws a response, in random order. */
    List<InstanceId> draw(RandomGenerator random) {
        // Random rounding makes the mean share exact also in short responses.
        int wantedLocal = (int) (size * localShare + (localShare < 1 ? random.nextDouble() : 0));
        int fromOthers = Math.min(size - Math.min(wantedLocal, local.size()), others.size());
        List<InstanceId> drawn = new ArrayList<>(size);
        local.draw(size - fromOthers, random, drawn);
        others.draw(fromOthers, random, drawn);
        shuffle(drawn, random);
        return drawn;
    }

    /** Some callers use the first address, so the order must not favour the heaviest instances. */
    private static void shuffle(List<InstanceId> ids, RandomGenerator random) {
        for (int i = ids.size() - 1; i > 0; i--) {
            ids.set(i, ids.set(random.nextInt(i + 1), ids.get(i)));
        }
    }
}
