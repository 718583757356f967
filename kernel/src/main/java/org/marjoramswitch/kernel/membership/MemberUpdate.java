package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * One statement about a member, as it is passed on from instance to instance.
 *
 * @param incarnation grows with every restart
 * @param revision grows within an incarnation with every announcement of the member itself; only the member raises it
 * @param status never {@link MemberStatus#DEAD}
 * @param leaving whether the member has announced its graceful shutdown
 * @param dataCentre known only where {@link #hasDetails()}, as are {@code address} and {@code processorMillicores}
 * @param generation of settings in force there, as far as the sender knows; not part of the order of updates
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
        int processorMillicores) {
    /** Stands for what an accusation does not say. */
    public static final DataCentreId NO_DATA_CENTRE = DataCentreId.of("");
    /** Stands for what an accusation does not say. */
    public static final MemberAddress NO_ADDRESS = MemberAddress.of("", 0);

    private static final int ACCUSATION_BYTES = 18;
    private static final int WHOLE_BYTES = 33;

    /** An update that says only whom it means and what became of it. */
    public static MemberUpdate statusOnly(
            InstanceId id, long incarnation, long revision, MemberStatus status, boolean leaving) {
        return new MemberUpdate(
                id, incarnation, revision, status, leaving, NO_DATA_CENTRE, NO_ADDRESS, 0, Member.UNKNOWN_PROCESSOR);
    }

    /** Whether the update says where the member is; an accusation only says whom it means. */
    public boolean hasDetails() {
        return status == MemberStatus.ALIVE;
    }

    /** At least the bytes that the update takes in a datagram, for ASCII names. */
    public int estimatedBytes() {
        if (!hasDetails()) {
            return ACCUSATION_BYTES + id.name().length();
        }
        return WHOLE_BYTES
                + id.name().length()
                + dataCentre.name().length()
                + address.host().length();
    }
}
