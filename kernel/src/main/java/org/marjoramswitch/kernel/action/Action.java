package org.marjoramswitch.kernel.action;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.stream.PersistedVersions;

/** An output of {@link org.marjoramswitch.kernel.InstanceKernel}, to be carried out by its caller. */
public sealed interface Action {

    /** Sends a message on the link to a peer. Dropped if there is no link, since entries re-register on a new one. */
    record SendPeer(InstanceId to, PeerMessage message) implements Action {}

    /**
     * Starts an attempt at a target.
     *
     * @param attempt the attempt's number, starting at 1
     * @param fetchFrom the target that has more of the prompt cached, null if nothing is to be fetched
     * @param startWithinMs how long from now the request may be sent; {@link PeerMessage.Placed#ANY_TIME} if there is no
     *     limit
     */
    record Dispatch(
            long requestId,
            TargetId target,
            int attempt,
            @Nullable TargetId fetchFrom,
            long startWithinMs) implements Action {
        /** Creates a dispatch that has no limit of time. */
        public Dispatch(long requestId, TargetId target, int attempt, @Nullable TargetId fetchFrom) {
            this(requestId, target, attempt, fetchFrom, PeerMessage.Placed.ANY_TIME);
        }
    }

    /** Cancels the running attempt, whose end must still be reported to the kernel. */
    record CancelAttempt(long requestId, TargetId target) implements Action {}

    /**
     * Ends the running attempt of a request whose deadline has passed, once the parts of its response that have already
     * arrived were read. Its end must still be reported to the kernel.
     */
    record ExpireAttempt(long requestId, TargetId target) implements Action {}

    /** Ends the running attempt unless its target has sent something since it was reported as silent. */
    record EndSilentAttempt(long requestId, TargetId target) implements Action {}

    /**
     * Reads the caller's connection, then queries when the caller was last sent a part of the response; answered by
     * {@link org.marjoramswitch.kernel.event.Event.ProgressReported}, or by {@link
     * org.marjoramswitch.kernel.event.Event.CallerGone} if the caller has disconnected.
     */
    record QueryProgress(long requestId) implements Action {}

    /** Ends a request successfully: the caller has received, or is receiving, the target's complete response. */
    record Complete(long requestId) implements Action {}

    /** Ends a request with a failure. Each request ends with exactly one {@link Complete} or {@link Fail}. */
    record Fail(long requestId, Failure failure) implements Action {}

    /** Stores state outside the process. */
    sealed interface Persist extends Action {}

    /** Stores the crashes of a blocked poison request, so that they survive the exit of all instances. */
    record KeepCrashes(long digest, List<RequestCrash> crashes) implements Persist {}

    /** Stores the software versions that have served, so that they survive the exit of all instances. */
    record PersistVersions(PersistedVersions versions) implements Persist {}

    /**
     * Stores the beginnings of streams, so that they survive the exit of all instances.
     *
     * @param keptMs how long they may be needed
     */
    record PersistStreams(PoolId pool, List<StreamBeginning> beginnings, long keptMs) implements Persist {}

    /** Logs a decision. */
    record Decided(Decision decision) implements Action {}

    /** Reports that the draining instance has no open requests left and may exit. */
    record Drained() implements Action {}
}
