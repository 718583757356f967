package org.marjoramswitch.daemon.core;

import org.marjoramswitch.kernel.event.Event;

/**
 * How an event fares when the ring to the decisions fills up. Each class may use the ring up to its own share, so that
 * what can be done without gives way first and what cannot always finds room.
 */
enum EventClass {
    /** Dropped and counted: a later event of the same kind, or the end of the request, says the same and more. */
    HINT(0.25),
    /** Refused towards the caller at once, as not run. */
    ARRIVAL(0.375),
    /** The link is cut and counted: both ends then register anew, which makes good whatever was missed. */
    PEER(0.5),
    /** Never refused: the rest of the ring is larger than all such events that can be outstanding. */
    CERTAIN(1);

    private final double share;

    EventClass(double share) {
        this.share = share;
    }

    /** The number of waiting events at which a ring of this capacity takes no more of this class. */
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
                || event instanceof Event.TargetReported
                || event instanceof Event.PrefixCached
                || event instanceof Event.Tick;
    }
}
