package org.marjoramswitch.daemon.core;

import org.marjoramswitch.kernel.event.Event;

/**
 * Defines what happens to an event when the ring of the decision loop fills up. Each class may use the ring up to its
 * own share, so that dispensable events are dropped first and capacity always remains for indispensable ones.
 */
enum EventClass {
    /** Dropped and counted: superseded by a later event of the same kind or by the end of the request, or soft state. */
    HINT(0.25),
    /** Rejected immediately; the caller receives a not-run failure. */
    ARRIVAL(0.375),
    /** Counted, and the link is cut: both instances then register again, which replaces what was lost. */
    PEER(0.5),
    /** Never refused: the remaining capacity exceeds the number of such events that can be outstanding. */
    CERTAIN(1);

    private final double share;

    EventClass(double share) {
        this.share = share;
    }

    /** Number of events in a ring of this capacity at which events of this class are refused. */
    int limit(int capacity) {
        return (int) (capacity * share);
    }

    static EventClass of(Event event) {
        if (event instanceof Event.RequestArrived) {
            return ARRIVAL;
        }
        if (event instanceof Event.PeerReceived) {
            return PEER;
        }
        return isHint(event) ? HINT : CERTAIN;
    }

    private static boolean isHint(Event event) {
        return event instanceof Event.TargetProgress
                || event instanceof Event.TargetAnswering
                || event instanceof Event.TargetSilent
                || event instanceof Event.ProgressReported
                || event instanceof Event.TargetReported
                || event instanceof Event.PrefixCached
                || event instanceof Event.DemandRejected
                || event instanceof Event.Tick;
    }
}
