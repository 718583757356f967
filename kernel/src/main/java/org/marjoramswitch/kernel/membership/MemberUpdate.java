package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * A gossiped statement about one member.
 *
 * @param incarnation increases with every restart
 * @param revision increases within an incarnation with every announcement of the member; only the member raises it
 * @param status never {@link MemberStatus#DEAD}
 * @param leaving whether the member has announced its graceful shutdown
 * @param dataCentre set only where {@link #hasDetails()}, as are {@code address} and {@code processorMillicores}
 * @param generation generation of settings in force there, as far as the sender knows; does not affect the order of
 *     updates
 * @param headroomPercent the member's headroom, as far as the sender knows, or {@link #UNKNOWN_HEADROOM}; does not
 *     affect the order of updates
 */
public record MemberUpdate(
        InstanceId id,
        long incarnation,
        long revision,
        MemberStatus status,
        boolean leaving,
        DataCentreId dataCentre,
        MemberAddress address,
        long generation,
        int processorMillicores,
        int headroomPercent) {
    /** Counts as full headroom. */
    public static final int UNKNOWN_HEADROOM = -1;

    public static final int FULL_HEADROOM = 100;
    /** Placeholder in an update without details. */
    public static final DataCentreId NO_DATA_CENTRE = DataCentreId.of("");
    /** Placeholder in an update without details. */
    public static final MemberAddress NO_ADDRESS = MemberAddress.of("", 0);

    private static final int STATUS_ONLY_BYTES = 18;
    private static final int DETAILS_BYTES = 34;

    /** Creates an update that carries only the member's identity and status. */
    public static MemberUpdate statusOnly(
            InstanceId id, long incarnation, long revision, MemberStatus status, boolean leaving) {
        return new MemberUpdate(
                id,
                incarnation,
                revision,
                status,
                leaving,
                NO_DATA_CENTRE,
                NO_ADDRESS,
                0,
                Member.UNKNOWN_PROCESSOR,
                UNKNOWN_HEADROOM);
    }

    /** Whether the update carries the member's address and data centre, which only ALIVE updates do. */
    public boolean hasDetails() {
        return status == MemberStatus.ALIVE;
    }

    /** Returns an upper bound of the bytes that the update takes in a datagram, for ASCII names. */
    public int estimatedBytes() {
        if (!hasDetails()) {
            return STATUS_ONLY_BYTES + id.name().length();
        }
        return DETAILS_BYTES
                + id.name().length()
                + dataCentre.name().length()
                + address.host().length();
    }
}
