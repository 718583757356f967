package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The targets of a cell, in the order of what a request costs there whatever its prompt: the wait for its turn and for a slot,
 * and the target's load.
 *
 * <p>Cost: an update of all sorts a list that was sorted a few milliseconds before and is nearly so still, which takes about
 * as many steps as there are targets; a change of one target moves one place in the list.
 */
final class TargetOrder {
    private static final Comparator<Standing> CHEAPEST_FIRST = Comparator.comparingDouble(Standing::costMs);

    private final List<Standing> standings = new ArrayList<>();
    private int open;

    private TargetOrder() {}

    static TargetOrder create() {
        return new TargetOrder();
    }

    /** Sets the targets; the order holds from the next {@link #update} on. */
    void targets(Collection<TargetLoad> targets) {
        standings.clear();
        targets.forEach(target -> standings.add(new Standing(target)));
        open = 0;
    }

    /**
     * Puts all targets in order.
     *
     * @param waitMs until a target takes a request of no size, 0 where it does now
     * @param loadMs what a target's load costs a request
     */
    void update(ToDoubleFunction<TargetLoad> waitMs, ToDoubleFunction<TargetLoad> loadMs) {
        open = 0;
        for (Standing standing : standings) {
            standing.update(waitMs, loadMs);
            open += standing.isOpen() ? 1 : 0;
        }
        standings.sort(CHEAPEST_FIRST);
    }

    /** As {@link #update}, for the one target that has changed. */
    void update(TargetLoad changed, ToDoubleFunction<TargetLoad> waitMs, ToDoubleFunction<TargetLoad> loadMs) {
        for (Standing standing : standings) {
            if (standing.target() == changed) {
                open -= standing.isOpen() ? 1 : 0;
                standing.update(waitMs, loadMs);
                open += standing.isOpen() ? 1 : 0;
                standings.sort(CHEAPEST_FIRST);
                return;
            }
        }
    }

    /** Whether any target takes a request now. */
    boolean hasOpen() {
        return open > 0;
    }

    /** The cheapest first. */
    List<Standing> standings() {
        return Collections.unmodifiableList(standings);
    }

    /** One target's place in the order. */
    static final class Standing {
        private final TargetLoad target;
        private double waitMs;
        private double loadMs;

        private Standing(TargetLoad target) {
            this.target = target;
        }

        TargetLoad target() {
            return target;
        }

        boolean isOpen() {
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
