package org.marjoramswitch.kernel.membership;

import java.util.List;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * A UDP datagram of the failure detector: the sender's state, a body, and gossiped member updates.
 *
 * @param updates updates about any members, most of them forwarded
 * @param headroomReports the headroom of other members, where it is or was incomplete
 */
public record Datagram(Sender sender, Body body, List<MemberUpdate> updates, List<HeadroomReport> headroomReports) {

    /** Creates a datagram without headroom reports. */
    public Datagram(Sender sender, Body body, List<MemberUpdate> updates) {
        this(sender, body, updates, List.of());
    }

    /**
     * The sender's own state; its address is the datagram's source address.
     *
     * @param headroomPercent the sender's headroom, 0 to 100; {@link MemberUpdate#UNKNOWN_HEADROOM} only in a datagram
     *     of an unknown type
     */
    public record Sender(
            InstanceId id,
            long incarnation,
            long revision,
            boolean leaving,
            boolean left,
            DataCentreId dataCentre,
            long generation,
            int processorMillicores,
            int headroomPercent) {}

    /**
     * The headroom that a member reported some time ago.
     *
     * @param memberKey see {@link #key}
     * @param ageMs time since the member reported it, as far as the clocks of the instances on its way measured it
     */
    public record HeadroomReport(int memberKey, int percent, long ageMs) {
        /**
         * Returns the number that stands for a member. Two members with the same number would share their headroom,
         * which makes a response list one of them too rarely or too often.
         */
        public static int key(InstanceId id) {
            return id.name().hashCode();
        }
    }

    /** The type-specific part of a datagram. */
    public sealed interface Body {}

    /** Requests an {@link Ack} with the same number. */
    public record Ping(long number) implements Body {}

    /** Acknowledges a ping, or reports to the sender of a {@link PingRequest} that its target acknowledged. */
    public record Ack(long number) implements Body {}

    /** Requests an indirect probe: the receiver pings the target and forwards its acknowledgement. */
    public record PingRequest(long number, MemberAddress target) implements Body {}

    /** Digests of the {@link ViewDigest#BUCKETS} buckets of the sender's view; requests the buckets that differ. */
    public record Compare(List<Integer> digests) implements Body {}

    /**
     * The members of some buckets of the sender's view, carried in the updates.
     *
     * @param buckets bit mask of the buckets
     * @param wantsReply whether the sender requests the receiver's members of these buckets
     */
    public record Exchange(int buckets, boolean wantsReply) implements Body {}

    /** A body type that this version does not know; the sender and the updates are still valid. */
    public record Unknown() implements Body {}
}
