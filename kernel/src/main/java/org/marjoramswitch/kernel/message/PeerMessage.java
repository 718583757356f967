package org.marjoramswitch.kernel.message;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * A message between two instances on their TCP link. Package {@code wire} encodes names once per link and as small
 * integers afterwards.
 */
public sealed interface PeerMessage {

    /**
     * Whether the message is sent immediately, together with those queued for the same link, instead of waiting briefly
     * for others to share its frame. True for grants and ends, since a slot is empty while they are in transit.
     */
    default boolean prompt() {
        return false;
    }

    /** Returns the message with its times adjusted for processing {@code delayMs} after its arrival. */
    default PeerMessage delayed(long delayMs) {
        return this;
    }

    /**
     * Entry to arbiter: the entry's complete state for a cell. It replaces the arbiter's state of this entry, except
     * grants later than {@code lastSequence}, which were still in transit.
     */
    record Register(
            CellId cell, List<Offer> offers, List<Holding> holdings, List<Standing> standings, long lastSequence)
            implements PeerMessage {}

    /**
     * Entry to arbiter: the entry no longer uses this instance as the cell's arbiter. Arbiter to entry: the arbiter has
     * no registration of the entry, which must register if it still uses this instance as the arbiter.
     */
    record Unregister(CellId cell) implements PeerMessage {}

    /**
     * Entry to arbiter: {@code added} more of a customer's requests may be granted here (fewer if negative).
     *
     * @param urgency urgency of the customer's most urgent request waiting at the entry
     */
    record Demand(CellId cell, CustomerId customer, int added, int urgency) implements PeerMessage {}

    /**
     * Arbiter to entry: start one request of the customer at the target.
     *
     * @param sequence increasing, unique within the arbiter's incarnation and cell
     * @param aheadTokens lead of the customer's virtual counter over the floor, see {@link
     *     org.marjoramswitch.kernel.fair.FairShares#lead}
     */
    record Grant(CellId cell, long sequence, CustomerId customer, TargetId target, long aheadTokens)
            implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to arbiter: a grant is returned unused. */
    record Decline(CellId cell, long sequence, DeclineReason reason) implements PeerMessage {}

    /** Entry to arbiter: the cost of a granted request so far, in weighted tokens. */
    record Progress(CellId cell, long sequence, long costTokens) implements PeerMessage {}

    /** Entry to arbiter: a granted request has ended and its slot is free. */
    record Ended(CellId cell, long sequence, long costTokens, boolean targetFault) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to the arbiters of the pool's other cells: the tokens charged to backlogged customers in this cell since
     * the last message.
     */
    record Charges(CellId cell, Map<CustomerId, Long> chargedTokens, int freeSlots) implements PeerMessage {}

    /** Any to any: a load report read from a target, forwarded to the cell's arbiter. */
    record Load(CellId cell, TargetId target, long ageMs, int running, int queued, int maxBatch)
            implements PeerMessage {}

    /**
     * Any to any: this target is draining or gone.
     *
     * @param startedAtMs start time of the target process that announced its shutdown itself, or {@link #LISTED} if a
     *     target list shows it, which may revoke it
     */
    record TargetLeaving(PoolId pool, TargetId target, long startedAtMs) implements PeerMessage {
        public static final long LISTED = -1;

        /** Creates the message for a target that a list shows as draining. */
        public TargetLeaving(PoolId pool, TargetId target) {
            this(pool, target, LISTED);
        }
    }

    /** Any to any: the data centres that the operators have evacuated, see {@link Evacuations}. */
    record DataCentresEvacuated(Evacuations evacuations) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Queries the state of a request at the home instance of its key. */
    record KeyQuery(long queryId, String key, CustomerId customer) implements PeerMessage {}

    /** Response to {@link KeyQuery}. */
    record KeyReply(long queryId, KeyState state) implements PeerMessage {}

    /** Queries an arbiter for whether it ever granted requests of an entry that is gone. */
    record WitnessQuery(long queryId, CellId cell, String entry, long entryIncarnation, long sinceMs)
            implements PeerMessage {}

    /** Response to {@link WitnessQuery}. */
    record WitnessReply(long queryId, WitnessState state) implements PeerMessage {}

    /** The newest generation of settings that the sender holds. */
    record SettingsHead(long generation, String digest) implements PeerMessage {}

    /** Requests the bodies that are newer than the sender's generation, or all with 0. */
    record SettingsQuery(long afterGeneration) implements PeerMessage {}

    /** Accepted bodies of a generation by team: all, or those that the requesting instance lacks. */
    record SettingsBodies(long generation, String digest, Map<String, String> bodyByTeam) implements PeerMessage {}

    /**
     * Entry to arbiter: a placement request for a waiting request. Times are remaining times, since clocks differ.
     *
     * @param placementId the placement id; unique within the entry's incarnation
     * @param objectiveLeftMs time until the first byte is late, negative if it is late already
     * @param waitLeftMs time until the entry itself rejects the request, because its caller gives up
     * @param deadlineLeftMs time until the caller's deadline, from which the delay of a retry follows
     * @param excluded targets at which the request failed before
     * @param softwareVersion the version at which the request's stream began and must continue; empty if any will do
     * @param resumedStream the key of a stream that the request resumes and whose version the entry does not know, or
     *     {@link #NO_STREAM} or {@link #UNNAMED_STREAM}
     */
    record Place(
            CellId cell,
            long placementId,
            CustomerId customer,
            int urgency,
            List<PromptPart> parts,
            long outputTokens,
            long objectiveLeftMs,
            long waitLeftMs,
            long deadlineLeftMs,
            List<TargetId> excluded,
            String softwareVersion,
            long resumedStream)
            implements PeerMessage {
        /** The request begins its stream, or the entry knows the stream's version. */
        public static final long NO_STREAM = 0;
        /** The caller resumes a stream without naming its beginning. */
        public static final long UNNAMED_STREAM = -1;

        /** Creates a request that any target may serve. */
        public Place(
                CellId cell,
                long placementId,
                CustomerId customer,
                int urgency,
                List<PromptPart> parts,
                long outputTokens,
                long objectiveLeftMs,
                long waitLeftMs,
                List<TargetId> excluded) {
            this(
                    cell,
                    placementId,
                    customer,
                    urgency,
                    parts,
                    outputTokens,
                    objectiveLeftMs,
                    waitLeftMs,
                    waitLeftMs,
                    excluded,
                    "",
                    NO_STREAM);
        }

        /** Whether the version of the request's stream has yet to be found. */
        public boolean hasUnknownVersion() {
            return softwareVersion.isEmpty() && resumedStream != NO_STREAM;
        }

        /** Returns the message of a request that only targets of this version may serve. */
        public Place withSoftwareVersion(String version) {
            return new Place(
                    cell,
                    placementId,
                    customer,
                    urgency,
                    parts,
                    outputTokens,
                    objectiveLeftMs,
                    waitLeftMs,
                    deadlineLeftMs,
                    excluded,
                    version,
                    NO_STREAM);
        }

        @Override
        public Place delayed(long delayMs) {
            return new Place(
                    cell,
                    placementId,
                    customer,
                    urgency,
                    parts,
                    outputTokens,
                    objectiveLeftMs - delayMs,
                    waitLeftMs - delayMs,
                    deadlineLeftMs - delayMs,
                    excluded,
                    softwareVersion,
                    resumedStream);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to entry: start the request with this placement id at the target.
     *
     * @param fetchFrom the target that has more of the prompt cached, null if nothing is to be fetched
     * @param heldMs how long the request waited at the arbiter; the receiving entry adds the delay of its own backlog
     * @param startWithinMs how long after the placement the request may be sent; {@link #ANY_TIME} if there is no limit.
     *     A target that has just started crashes if placements of a longer period arrive together.
     * @param softwareVersion the version at which the request's stream must continue; empty if any will do
     */
    record Placed(
            CellId cell,
            long placementId,
            TargetId target,
            @Nullable TargetId fetchFrom,
            long heldMs,
            long startWithinMs,
            String softwareVersion)
            implements PeerMessage {
        public static final long ANY_TIME = Long.MAX_VALUE;

        /** Creates a placement that has no limit of time. */
        public Placed(CellId cell, long placementId, TargetId target, @Nullable TargetId fetchFrom, long heldMs) {
            this(cell, placementId, target, fetchFrom, heldMs, ANY_TIME, "");
        }

        @Override
        public Placed delayed(long delayMs) {
            long leftMs = startWithinMs == ANY_TIME ? ANY_TIME : startWithinMs - delayMs;
            return new Placed(cell, placementId, target, fetchFrom, heldMs + delayMs, leftMs, softwareVersion);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to entry: no target can serve the request in time, or none can continue its stream.
     *
     * @param heldMs how long the request waited at the arbiter
     * @param streamLost whether the version of the request's stream is not known or serves no more
     * @param targetsUnknown whether the arbiter knows no targets of the cell, so that the entry asks another one
     */
    record NotPlaced(
            CellId cell, long placementId, long retryAfterMs, long heldMs, boolean streamLost, boolean targetsUnknown)
            implements PeerMessage {
        /** Creates the rejection of an arbiter that knows targets of the cell. */
        public NotPlaced(CellId cell, long placementId, long retryAfterMs, long heldMs, boolean streamLost) {
            this(cell, placementId, retryAfterMs, heldMs, streamLost, false);
        }

        @Override
        public NotPlaced delayed(long delayMs) {
            return new NotPlaced(cell, placementId, retryAfterMs, heldMs + delayMs, streamLost, targetsUnknown);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to arbiter: a waiting request no longer needs a target. */
    record PlaceWithdrawn(CellId cell, long placementId) implements PeerMessage {}

    /**
     * Entry to arbiter, and arbiter to the instances that may replace it: streams of a pool that have begun.
     *
     * @param replicated whether the sender has forwarded them to the other instances
     */
    record StreamsBegan(PoolId pool, List<StreamBeginning> beginnings, boolean replicated) implements PeerMessage {}

    /**
     * Part of {@link StreamsBegan}.
     *
     * @param streamKey see {@link org.marjoramswitch.kernel.model.StreamSpec#key}
     * @param leftMs time until the caller's timeout expires
     */
    record StreamBeginning(long streamKey, String softwareVersion, long leftMs) {}

    /**
     * Any to a peer that connects: the software versions that have served recently.
     *
     * @param knownForMs how long the sender, or one of its peers, has followed the list of targets
     */
    record VersionHistory(long knownForMs, List<ServedVersion> versions) implements PeerMessage {}

    /**
     * Part of {@link VersionHistory}.
     *
     * @param ageMs time since a target of this version last served, 0 if one does now
     */
    record ServedVersion(PoolId pool, String softwareVersion, long ageMs) {}

    /**
     * Arbiter to the instances that hold a pool's records: asks at which version a stream began.
     *
     * @param queryId not used again by the sender, whichever peer is asked
     *
     * @param streamKey see {@link org.marjoramswitch.kernel.model.StreamSpec#key}; {@link Place#UNNAMED_STREAM} asks for
     *     the versions only
     */
    record StreamQuery(long queryId, PoolId pool, long streamKey) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Response to {@link StreamQuery}: all that the peer knows of the stream.
     *
     * @param softwareVersion empty if the peer has no record of the stream
     * @param knownForMs see {@link VersionHistory}; 0 if the sender has not followed the list of targets
     * @param versions the versions that have served the pool recently
     */
    record StreamReply(long queryId, String softwareVersion, long knownForMs, List<ServedVersion> versions)
            implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to arbiter: the first byte of the response arrived, so the target has completed the prefill. */
    record PlacementAnswering(CellId cell, long placementId) implements PeerMessage {}

    /** Entry to arbiter: the request has ended and its slot at the target is free. */
    record PlacementEnded(CellId cell, long placementId, long outputTokens, PlacementEnd end) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to an arbiter that it starts to use: the entry's running requests at the cell's targets. */
    record PlacementsHeld(CellId cell, List<HeldPlacement> held) implements PeerMessage {}

    /** Part of {@link PlacementsHeld}. */
    record HeldPlacement(
            long placementId,
            CustomerId customer,
            TargetId target,
            long promptTokens,
            long outputTokens,
            boolean answering) {}

    /** How a placed request ended at its target. */
    enum PlacementEnd {
        SERVED,
        /** Failed through the target's fault. */
        FAILED,
        /** No byte was sent to the target. */
        NOT_RUN,
        /** The connection was closed unused, or the target reported that it did not execute the request. */
        REFUSED,
        /** Cancelled by its caller or at its deadline. */
        GIVEN_UP,
        /** The target's host refused the connection: nothing listens at the target's address. */
        CONNECTION_REFUSED
    }

    /** Watcher to its data centre and to other watchers: the heartbeat with its positions in the watched prefixes. */
    record WatchBeat(List<WatchPosition> positions) implements PeerMessage {}

    /**
     * Part of {@link WatchBeat}.
     *
     * @param changedRevision revision of the last change that the sender has received
     * @param completeRevision revision up to which the sender has received all changes
     */
    record WatchPosition(String prefix, long changedRevision, long completeRevision) {}

    /**
     * Watcher to its data centre, or response to {@link WatchChangesQuery}: the changes below a prefix after one revision
     * and up to another.
     */
    record WatchNews(String prefix, long fromRevision, long toRevision, List<WatchedEntry> changes)
            implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Requests all entries below a prefix from a watcher. */
    record WatchQuery(String prefix) implements PeerMessage {}

    /**
     * Requests the changes below a prefix after a revision. The response is {@link WatchNews} or, if the receiver does
     * not hold all of these changes any more, {@link WatchCopy}; there is none if the receiver knows of no change.
     */
    record WatchChangesQuery(String prefix, long afterRevision) implements PeerMessage {}

    /** Response to {@link WatchQuery}: all entries at a revision. */
    record WatchCopy(String prefix, long revision, List<WatchedEntry> entries) implements PeerMessage {}

    /**
     * An entry of the platform's key-value store.
     *
     * @param value null if the entry was removed
     * @param createRevision revision of the first write
     * @param revision revision of the last write or of the removal
     */
    record WatchedEntry(String key, @Nullable String value, long createRevision, long revision) {
        public static WatchedEntry removed(String key, long revision) {
            return new WatchedEntry(key, null, 0, revision);
        }
    }

    /**
     * Any to all: crashes of targets while running requests, and requests and prompt parts that were served although
     * targets had crashed while running them. The served ones are older than the crashes in the same message.
     *
     * @param served see {@link org.marjoramswitch.kernel.crash.CrashSuspects}
     */
    record CrashNews(List<RequestCrash> crashes, List<Long> served) implements PeerMessage {}

    /**
     * Part of {@link CrashNews}: a target crashed while it ran a request.
     *
     * @param digest see {@link org.marjoramswitch.kernel.crash.CrashSuspects}
     * @param ageMs time since the crash
     * @param promptPart whether the digest is that of a part of the request's prompt
     */
    record RequestCrash(long digest, TargetId target, long ageMs, boolean promptPart) {
        /** Creates the crash of a whole request. */
        public RequestCrash(long digest, TargetId target, long ageMs) {
            this(digest, target, ageMs, false);
        }
    }

    /**
     * Entry to arbiter: demand that the entry rejected before it reached the arbiter, since its last message. A lost or
     * late message only lowers the shares of these customers for a moment.
     */
    record RejectedDemand(List<CustomerTokens> rejected) implements PeerMessage {}

    /**
     * Part of {@link RejectedDemand}.
     *
     * @param tokens weighted tokens of the rejected requests that the receiving arbiter's cells of the pool would have
     *     served
     */
    record CustomerTokens(PoolId pool, CustomerId customer, long tokens) {}

    /** Shows that the link still works while no other message is sent. */
    record Heartbeat() implements PeerMessage {}

    /** Requests a reply from the peer's kernel; the heartbeats of a link show only that its socket works. */
    record Probe(long number) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Response to the {@link Probe} of this number, in order with all other messages of the peer. */
    record ProbeReply(long number) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Part of {@link Register}: requests that wait for a grant. */
    record Offer(CustomerId customer, int waiting, int urgency) {}

    /**
     * Part of {@link Register}: a request in flight. Later {@link Progress} and {@link Ended} messages identify it by
     * the sequence {@code -localId}.
     */
    record Holding(long localId, CustomerId customer, TargetId target, long costTokens) {}

    /** Part of {@link Register}: the last {@link Grant#aheadTokens} that the entry received for a customer. */
    record Standing(CustomerId customer, long aheadTokens) {}

    /** Why a grant was returned. */
    enum DeclineReason {
        NOTHING_WAITING,
        NOT_THE_ARBITER,
        TARGET_LEAVING,
        TARGET_UNKNOWN,
        INSTANCE_LEAVING
    }

    /** The state of a request key at its home instance. */
    enum KeyState {
        NEVER_SEEN,
        WAITING,
        SENT,
        ANSWERING,
        ENDED,
        DEAD,
        /** Too old to determine whether it was ever seen. */
        FORGOTTEN
    }

    /** An arbiter's knowledge of grants to an entry that is gone. */
    enum WitnessState {
        NEVER_GRANTED,
        GRANTED,
        CANNOT_TELL
    }
}
