package org.marjoramswitch.kernel.event;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.stream.PersistedVersions;

/**
 * An input of {@link org.marjoramswitch.kernel.InstanceKernel}. Decisions depend only on the events and their times.
 */
public sealed interface Event {
    /** The caller has received no part of the response. */
    long NO_PROGRESS = -1;

    private static long withDelay(long sinceProgressMs, long delayMs) {
        return sinceProgressMs == NO_PROGRESS ? NO_PROGRESS : sinceProgressMs + delayMs;
    }

    /** A caller's request was read completely and may be queued. */
    record RequestArrived(RequestSpec request) implements Event {}

    /** The caller closed its connection or cancelled the request. */
    record CallerGone(long requestId) implements Event {}

    /** The target has delivered {@code outputTokens} of the running attempt's response so far. */
    record TargetProgress(long requestId, long outputTokens) implements Event {}

    /**
     * The first byte of the running attempt's response arrived.
     *
     * @param delivered whether it was delivered to the caller; false for an error response that is held back
     */
    record TargetAnswering(long requestId, boolean delivered) implements Event {
        /** Creates the event of a part that was delivered to the caller. */
        public TargetAnswering(long requestId) {
            this(requestId, true);
        }
    }

    /**
     * The running attempt of a request ended.
     *
     * @param sinceProgressMs time since a part of the response was last passed on to the caller, {@link #NO_PROGRESS} if
     *     none was
     */
    record TargetEnded(long requestId, TargetOutcome outcome, Usage usage, long sinceProgressMs) implements Event {
        /** Creates an event of a request whose caller has received nothing. */
        public TargetEnded(long requestId, TargetOutcome outcome, Usage usage) {
            this(requestId, outcome, usage, NO_PROGRESS);
        }

        /** Returns the event with its time adjusted for processing {@code waitedMs} after the end. */
        public TargetEnded delayed(long waitedMs) {
            return new TargetEnded(requestId, outcome, usage, withDelay(sinceProgressMs, waitedMs));
        }
    }

    /**
     * The target of the running attempt has sent nothing for its progress timeout.
     *
     * @param answerBegun whether a part of the response has been delivered, by this attempt or an earlier one
     */
    record TargetSilent(long requestId, boolean answerBegun) implements Event {}

    /**
     * Responds to {@link org.marjoramswitch.kernel.action.Action.QueryProgress}.
     *
     * @param sinceProgressMs time since a part of the response was last written to the caller, {@link #NO_PROGRESS} if
     *     none was
     */
    record ProgressReported(long requestId, long sinceProgressMs) implements Event {
        /** Returns the event with its time adjusted for processing {@code waitedMs} after the report. */
        public ProgressReported delayed(long waitedMs) {
            return new ProgressReported(requestId, withDelay(sinceProgressMs, waitedMs));
        }
    }

    /**
     * A message arrived from a peer.
     *
     * @param fromIncarnation authenticated by the link's handshake
     * @param delayMs how long the message waited at this instance, whose backlog it shows
     */
    record PeerReceived(InstanceId from, long fromIncarnation, PeerMessage message, long delayMs) implements Event {
        /** Creates an event that is processed immediately. */
        public PeerReceived(InstanceId from, long fromIncarnation, PeerMessage message) {
            this(from, fromIncarnation, message, 0);
        }

        /** Returns the event with its times adjusted for processing {@code waitedMs} after its arrival. */
        public PeerReceived delayed(long waitedMs) {
            return new PeerReceived(from, fromIncarnation, message.delayed(waitedMs), waitedMs);
        }
    }

    /** A new link to a peer was established, or a link was lost or timed out. */
    record PeerLinkChanged(InstanceId peer, boolean up) implements Event {}

    /** The membership view changed. */
    record ViewChanged(FleetView view) implements Event {}

    /** A newer generation of settings is in effect. */
    record SettingsAccepted(FleetSettings settings) implements Event {}

    /** The platform's target list marks these targets as draining; all others are live. */
    record TargetsLeaving(Set<TargetId> leaving) implements Event {}

    /** Admission control rejected requests with these tokens before they were queued. */
    record DemandRejected(List<PeerMessage.CustomerTokens> rejected) implements Event {}

    /** The operators' list of evacuated data centres was read. */
    record DataCentresEvacuated(Evacuations evacuations) implements Event {}

    /**
     * A target announced its shutdown in a response.
     *
     * @param startedAtMs start time of that target process, see {@link
     *     org.marjoramswitch.kernel.settings.TargetSettings#startedAtMs}
     */
    record TargetReportedDraining(TargetId target, long startedAtMs) implements Event {}

    /** A target rejected a request and must not receive requests from this instance for {@code backoffMs}. */
    record TargetBackoffRequested(TargetId target, long backoffMs) implements Event {}

    /** Crashes of targets while running a request, as listed in the platform's key-value store. */
    record CrashesListed(List<PeerMessage.RequestCrash> crashes) implements Event {}

    /**
     * What the instances persisted about streams was read.
     *
     * @param versions null if none were persisted
     */
    record StreamsRestored(@Nullable PersistedVersions versions, List<PoolStreams> streams) implements Event {}

    /** Part of {@link StreamsRestored}: the beginnings of streams of a pool. */
    record PoolStreams(PoolId pool, List<PeerMessage.StreamBeginning> beginnings) {}

    /** A target reported its load. */
    record TargetReported(TargetId target, LoadReport report) implements Event {}

    /** A target's cache gained or lost a prompt prefix. Only a hint: such events arrive late and with gaps. */
    record PrefixCached(TargetId target, long prefixHash, boolean present) implements Event {}

    /**
     * This instance starts its graceful shutdown.
     *
     * @param drainEndsAtMs when requests that are still open are ended
     */
    record StopStarted(long drainEndsAtMs) implements Event {}

    /** This instance accepts no more requests. */
    record DrainStarted() implements Event {}

    /** Advances the time, for deadlines and timeouts. */
    record Tick() implements Event {}
}
