package org.marjoramswitch.kernel.action;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;

/** One output of {@link org.marjoramswitch.kernel.InstanceKernel}. */
public sealed interface Action {

    /** Send a message on the link to a peer; dropped where there is none (a new link registers anew). */
    record SendPeer(InstanceId to, PeerMessage message) implements Action {}

    /**
     * Start an attempt, counted from 1, at a target.
     *
     * @param fetchFrom the target that keeps more of the prompt, null where there is nothing to be fetched
     */
    record Dispatch(
            long requestId,
            TargetId target,
            int attempt,
            @Nullable TargetId fetchFrom) implements Action {}

    /** Cancel the running attempt; its end is still to be reported. */
    record CancelAttempt(long requestId, TargetId target) implements Action {}

    /** The request is over and the caller has, or is being given, the target's whole answer. */
    record Complete(long requestId) implements Action {}

    /** The request is over with this failure. Each request ends by exactly one of Complete and Fail. */
    record Fail(long requestId, Failure failure) implements Action {}

    /** What is held against a request that is blocked is to outlast the end of all instances. */
    record KeepCrashes(long digest, List<RequestCrash> crashes) implements Action {}

    /** A decision to be logged. */
    record Decided(Decision decision) implements Action {}

    /** This instance holds no request any more and may exit. */
    record Drained() implements Action {}
}
