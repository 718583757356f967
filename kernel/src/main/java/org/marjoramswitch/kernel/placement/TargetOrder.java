package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Keeps the targets of a cell sorted by the part of a request's cost that does not depend on its prompt: the wait for
 * the queue and for a slot, and the target's load.
 *
 * <p>Cost: a full update sorts a list that was sorted a few milliseconds earlier and is still nearly sorted, which
 * takes close to linear time. An update of one target moves one element.
 */
final class TargetOrder {
    private static final Comparator<RankedTarget> CHEAPEST_FIRST = Comparator.comparingDouble(RankedTarget::costMs);

    private final List<RankedTarget> ranking = new ArrayList<>();
    private int freeCount;
    private double minSlowness = 1;
    private double meanSpeed = 1;

    private TargetOrder() {}

    static TargetOrder create() {
        return new TargetOrder();
    }

    /** Sets the targets; the order is valid after the next {@link #update}. */
    void targets(Collection<TargetLoad> targets) {
        ranking.clear();
        targets.forEach(target -> ranking.add(new RankedTarget(target)));
        freeCount = 0;
    }

    /**
     * Recomputes all costs and sorts the targets.
     *
     * @param waitMs time until a target can take a request, its size aside; 0 if it can now
     * @param loadMs cost of a target's load for a request
     * @param slowness time that a target takes for its work relative to the pool
     */
    void update(
            ToDoubleFunction<TargetLoad> waitMs,
            ToDoubleFunction<TargetLoad> loadMs,
            ToDoubleFunction<TargetLoad> slowness) {
        freeCount = 0;
        minSlowness = Double.MAX_VALUE;
        double speeds = 0;
        for (RankedTarget ranked : ranking) {
            ranked.update(waitMs, loadMs);
            ranked.slowness = slowness.applyAsDouble(ranked.target);
            minSlowness = Math.min(minSlowness, ranked.slowness);
            speeds += 1 / ranked.slowness;
            freeCount += ranked.isFree() ? 1 : 0;
        }
        meanSpeed = ranking.isEmpty() ? 1 : speeds / ranking.size();
        ranking.sort(CHEAPEST_FIRST);
    }

    /** Same as {@link #update} for one target with changed load. */
    void update(TargetLoad changed, ToDoubleFunction<TargetLoad> waitMs, ToDoubleFunction<TargetLoad> loadMs) {
        for (RankedTarget ranked : ranking) {
            if (ranked.target() == changed) {
                freeCount -= ranked.isFree() ? 1 : 0;
                ranked.update(waitMs, loadMs);
                freeCount += ranked.isFree() ? 1 : 0;
                ranking.sort(CHEAPEST_FIRST);
                return;
            }
        }
    }

    /** Whether any target can take a request now. */
    boolean hasFree() {
        return freeCount > 0;
    }

    /** The number of targets that can take a request now. */
    int freeCount() {
        return freeCount;
    }

    /** The slowness of the fastest target. */
    double minSlowness() {
        return minSlowness;
    }

    /** The mean speed of the targets relative to the pool's model. */
    double meanSpeed() {
        return meanSpeed;
    }

    /** The targets, cheapest first. */
    List<RankedTarget> ranking() {
        return Collections.unmodifiableList(ranking);
    }

    /** A target with its cost. */
    static final class RankedTarget {
        private final TargetLoad target;
        private double waitMs;
        private double loadMs;
        private double slowness = 1;

        private RankedTarget(TargetLoad target) {
            this.target = target;
        }

        TargetLoad target() {
            return target;
        }

        double slowness() {
            return slowness;
        }

        boolean isFree() {
            return waitMs == 0;
        }

        double costMs() {
            return waitMs + loadMs;
        }

        private void update(ToDoubleFunction<TargetLoad> newWaitMs, ToDoubleFunction<TargetLoad> newLoadMs) {
            waitMs = newWaitMs.applyAsDouble(target);
            loadMs = newLoadMs.applyAsDouble(target);
        }
    }
}
