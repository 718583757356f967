package org.marjoramswitch.kernel.event;

import java.util.List;
import java.util.Set;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;

/** One input of {@link org.marjoramswitch.kernel.InstanceKernel}; with its time it is all that a decision depends on. */
public sealed interface Event {

    /** A caller's request was read whole and may be queued. */
    record RequestArrived(RequestSpec request) implements Event {}

    /** The caller of a request closed its connection or cancelled. */
    record CallerGone(long requestId) implements Event {}

    /** The target has delivered {@code outputTokens} of the running attempt's answer so far. */
    record TargetProgress(long requestId, long outputTokens) implements Event {}

    /** The first byte of the running attempt's answer is there. */
    record TargetAnswering(long requestId) implements Event {}

    /** The running attempt of a request ended. */
    record TargetEnded(long requestId, TargetOutcome outcome, Usage usage) implements Event {}

    /** A peer said something; {@code fromIncarnation} is the one that the link's handshake proved. */
    record PeerReceived(InstanceId from, long fromIncarnation, PeerMessage message) implements Event {
        /** The same, decided on {@code delayMs} after its arrival: times in it are adjusted by that. */
        public PeerReceived delayed(long delayMs) {
            PeerMessage adjusted = message.delayed(delayMs);
            return adjusted == message ? this : new PeerReceived(from, fromIncarnation, adjusted);
        }
    }

    /** A link to a peer came up (a new one each time) or was lost or fell silent. */
    record PeerLinkChanged(InstanceId peer, boolean up) implements Event {}

    /** The membership view changed. */
    record ViewChanged(FleetView view) implements Event {}

    /** A newer generation of settings is in force. */
    record SettingsAccepted(FleetSettings settings) implements Event {}

    /** The platform's list names these targets as leaving; all others are live. */
    record TargetsLeaving(Set<TargetId> leaving) implements Event {}

    /**
     * A target said beside an answer that it leaves.
     *
     * @param startedAtMs tells the start of the target that said so, see {@link
     *     org.marjoramswitch.kernel.settings.TargetSettings#startedAtMs}
     */
    record TargetSaidLeaving(TargetId target, long startedAtMs) implements Event {}

    /** A target turned a request away and wants nothing from this instance for a while. */
    record TargetAskedForRest(TargetId target, long restMs) implements Event {}

    /** Ends of targets under requests that the platform's list names. */
    record CrashesListed(List<PeerMessage.RequestCrash> crashes) implements Event {}

    /** A target reported its load. */
    record TargetReported(TargetId target, LoadReport report) implements Event {}

    /** A target's cache gained or lost a prompt prefix; late and with gaps, so only a hint. */
    record PrefixCached(TargetId target, long prefixHash, boolean present) implements Event {}

    /** This instance begins its graceful shutdown. */
    record DrainStarted() implements Event {}

    /** Time has passed. */
    record Tick() implements Event {}
}
