package org.marjoramswitch.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the ends of the waiting calls of one store's watches, and closes all watches if one of them loses its
 * connection.
 *
 * <p>A waiting call shows only at its end whether its connection still works. The usual cause of silent connections, a
 * middlebox that loses its connection table, affects all connections at once. The calls therefore end in round-robin
 * order, evenly spread over a period, and one that ends without a response closes all watches; each is re-established
 * with a full read. A silent failure is thus detected within a fraction of a period, at the same number of calls.
 *
 * <p>Correctness: whenever connections go silent, each watch has a call waiting that ends by its next phase, or is
 * about to begin one; the phases of {@value #PHASES} watches are {@value #PERIOD_MS} / {@value #PHASES} ms apart.
 *
 * <p>Edge cases: watches beyond the number of phases share one. A call that begins right before its phase waits for
 * {@value #MIN_WAIT_MS} ms, so that none returns immediately. With fewer watches than phases some phases are unused,
 * and a silent failure is detected correspondingly later.
 */
public final class WatchSchedule {
    /** Interval between two calls of an idle watch, that is, a third of a call per second and watch. */
    private static final long PERIOD_MS = 3_000;
    /** One per prefix that an instance watches: the list of instances, the settings and the targets. */
    private static final int PHASES = 3;
    /** Below this, a call costs more than its wait saves. */
    private static final long MIN_WAIT_MS = 100;

    private final @Nullable Phase[] phases = new Phase[PHASES];
    private final List<Phase> members = new ArrayList<>();

    private WatchSchedule() {}

    public static WatchSchedule create() {
        return new WatchSchedule();
    }

    /**
     * Adds a watch.
     *
     * @param onConnectionLost called, on any watch's thread, when all connections may be silent; the watch is then
     *     closed
     */
    public synchronized Phase join(Runnable onConnectionLost) {
        int index = freeIndex();
        Phase phase = new Phase(index, onConnectionLost);
        if (phases[index] == null) {
            phases[index] = phase;
        }
        members.add(phase);
        return phase;
    }

    private int freeIndex() {
        for (int index = 0; index < PHASES; index++) {
            if (phases[index] == null) {
                return index;
            }
        }
        return members.size() % PHASES;
    }

    /** Closes all watches and notifies them. */
    public void closeAll() {
        removeAll().forEach(phase -> phase.onConnectionLost.run());
    }

    private synchronized void leave(Phase phase) {
        members.remove(phase);
        if (phases[phase.index] == phase) {
            phases[phase.index] = null;
        }
    }

    /** Removes and returns all members. */
    private synchronized List<Phase> removeAll() {
        List<Phase> removed = List.copyOf(members);
        removed.forEach(this::leave);
        return removed;
    }

    /** A watch's phase within the period. */
    public final class Phase {
        private final int index;
        private final Runnable onConnectionLost;

        private Phase(int index, Runnable onConnectionLost) {
            this.index = index;
            this.onConnectionLost = onConnectionLost;
        }

        /** Wait time of a call that begins now. */
        public long waitMs(long nowMs) {
            long untilPhaseMs = Math.floorMod(index * (PERIOD_MS / PHASES) - nowMs, PERIOD_MS);
            return Math.max(MIN_WAIT_MS, untilPhaseMs);
        }

        /** The watch's call ended without a response; closes all watches. */
        public void onCallUnanswered() {
            closeAll();
        }

        /** Removes the watch from the schedule. */
        public void leave() {
            WatchSchedule.this.leave(this);
        }
    }
}
