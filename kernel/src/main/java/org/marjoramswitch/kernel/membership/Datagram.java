package org.marjoramswitch.kernel.membership;

import java.util.List;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * What one instance sends another by UDP: who it is, what it wants, and news of members.
 *
 * @param updates news of any members, most of it passed on
 */
public record Datagram(Sender sender, Body body, List<MemberUpdate> updates) {

    /** The sender's own state; its address is the one that the datagram came from. */
    public record Sender(
            InstanceId id,
            long incarnation,
            long revision,
            boolean leaving,
            boolean left,
            DataCentreId dataCentre,
            long generation,
            int processorMillicores) {}

    /** The purpose of a datagram. */
    public sealed interface Body {}

    /** Asks for an {@link Ack} with the same number. */
    public record Ping(long number) implements Body {}

    /** Answers a ping, or tells the sender of a {@link PingRequest} that its target answered. */
    public record Ack(long number) implements Body {}

    /** Asks the receiver to ping the target and to pass its answer on. */
    public record PingRequest(long number, MemberAddress target) implements Body {}

    /** Digests of the sender's view in {@link ViewDigest#BUCKETS} parts; asks for the parts that differ. */
    public record Compare(List<Integer> digests) implements Body {}

    /**
     * The members of some parts of the sender's view, in the updates.
     *
     * @param buckets the parts, one bit each
     * @param wantsReply whether the sender wants the receiver's members of these parts
     */
    public record Exchange(int buckets, boolean wantsReply) implements Body {}

    /** A purpose that this version does not know; the sender and the updates are still good. */
    public record Unknown() implements Body {}
}
