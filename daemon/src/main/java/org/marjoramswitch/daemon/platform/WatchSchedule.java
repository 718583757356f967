package org.marjoramswitch.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * When the waiting calls of the watches of one service end, and what the loss of one means for the others.
 *
 * <p>A call that waits tells only at its end whether its connection still works. What makes connections go silent, a table
 * lost by something between the two ends, does so to all of them together. So the calls end in phase, spread evenly over
 * a round, and one that ends without an answer puts all watches in doubt, which are then read anew. A silence is noticed
 * after a part of a round in place of a whole one, at the same number of calls.
 *
 * <p>Why it holds: whenever connections go silent, each watch has a call waiting that ends by its next phase, or is about to
 * begin one; the turns of {@value #TURNS} watches are {@value #ROUND_MS} / {@value #TURNS} ms apart.
 *
 * <p>Odd cases: watches beyond the number of turns share one. A call that begins right before its phase waits for
 * {@value #LEAST_WAIT_MS} ms, so that none returns at once. Fewer watches than turns leave turns empty, and a silence is
 * noticed that much later.
 */
public final class WatchSchedule {
    /** The time from one call of a quiet watch to its next one: a third of a call a second and watch. */
    private static final long ROUND_MS = 3_000;
    /** An instance watches three prefixes: the list of instances, the settings and the targets. */
    private static final int TURNS = 3;
    /** Below it a call costs more than its waiting spares. */
    private static final long LEAST_WAIT_MS = 100;

    private final @Nullable Phase[] taken = new Phase[TURNS];
    private final List<Phase> members = new ArrayList<>();

    private WatchSchedule() {}

    public static WatchSchedule create() {
        return new WatchSchedule();
    }

    /**
     * A watch begins.
     *
     * @param onConnectionLost told, by the thread of any watch, that the connections may all be silent and the watch is over
     */
    public synchronized Phase join(Runnable onConnectionLost) {
        int place = freePlace();
        Phase phase = new Phase(place, onConnectionLost);
        if (taken[place] == null) {
            taken[place] = phase;
        }
        members.add(phase);
        return phase;
    }

    private int freePlace() {
        for (int place = 0; place < TURNS; place++) {
            if (taken[place] == null) {
                return place;
            }
        }
        return members.size() % TURNS;
    }

    /** All watches are over, and are told so: what they go by holds no longer. */
    public void closeAll() {
        dismiss().forEach(phase -> phase.onConnectionLost.run());
    }

    private synchronized void leave(Phase phase) {
        members.remove(phase);
        if (taken[phase.place] == phase) {
            taken[phase.place] = null;
        }
    }

    /** All members, none of which is one from now on. */
    private synchronized List<Phase> dismiss() {
        List<Phase> dismissed = List.copyOf(members);
        dismissed.forEach(this::leave);
        return dismissed;
    }

    /** One watch's phase in the round. */
    public final class Phase {
        private final int place;
        private final Runnable onConnectionLost;

        private Phase(int place, Runnable onConnectionLost) {
            this.place = place;
            this.onConnectionLost = onConnectionLost;
        }

        /** How long a call that begins now is to wait. */
        public long waitMs(long nowMs) {
            long untilTurnMs = Math.floorMod(place * (ROUND_MS / TURNS) - nowMs, ROUND_MS);
            return Math.max(LEAST_WAIT_MS, untilTurnMs);
        }

        /** The watch's call ended without an answer: all watches are over, and are told so. */
        public void onCallUnanswered() {
            closeAll();
        }

        /** The watch is over. */
        public void leave() {
            WatchSchedule.this.leave(this);
        }
    }
}
