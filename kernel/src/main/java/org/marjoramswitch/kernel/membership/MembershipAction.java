package org.marjoramswitch.kernel.membership;

import java.util.Map;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;

/** An output of the failure detector, to be performed by the caller. */
public sealed interface MembershipAction {

    record Send(MemberAddress to, Datagram datagram) implements MembershipAction {}

    /** The view changed; carries the new view and the addresses of its other members. */
    record ViewChanged(FleetView view, Map<InstanceId, MemberAddress> addresses) implements MembershipAction {}

    /**
     * An instance has a newer generation of settings in force than this one; repeated until this one has caught up.
     */
    record GenerationSeen(InstanceId instance, long generation) implements MembershipAction {}

    /** A member's status changed; for logs and metrics only. */
    record MemberChanged(InstanceId instance, long incarnation, Change change) implements MembershipAction {}

    /** The kinds of status changes. */
    enum Change {
        JOINED,
        RESTARTED,
        SUSPECTED,
        CLEARED,
        DIED,
        RETURNED,
        LEAVING,
        LEFT,
        /** This instance refuted a suspicion of itself. */
        REFUTED,
        /** A newer process uses this instance's name. */
        SUPERSEDED
    }
}
