package org.marjoramswitch.kernel.message;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * What one instance says to another over their TCP link. Names are sent once per link and as small integers from then
 * on; package {@code wire} does that.
 */
public sealed interface PeerMessage {

    /**
     * Whether the message is sent at once, with what waits for the same link, in place of waiting a little for others to
     * share its frame. Grants and ends are: a slot is empty while they travel.
     */
    default boolean prompt() {
        return false;
    }

    /** The message as it is when the receiver decides on it {@code delayMs} after its arrival. */
    default PeerMessage delayed(long delayMs) {
        return this;
    }

    /**
     * Entry to arbiter: the entry's whole state for a cell; it replaces what the arbiter held of this entry, but for
     * grants later than {@code lastSequence}, which were still on their way.
     */
    record Register(
            CellId cell, List<Offer> offers, List<Holding> holdings, List<Standing> standings, long lastSequence)
            implements PeerMessage {}

    /**
     * Entry to arbiter: the entry no longer takes this instance for the cell's arbiter. Arbiter to entry: no
     * registration of the entry is held here, so it must register if it still takes this instance for the arbiter.
     */
    record Unregister(CellId cell) implements PeerMessage {}

    /**
     * Entry to arbiter: {@code added} more of a customer's requests may be granted here (fewer where negative).
     *
     * @param urgency the most urgent one that waits at the entry
     */
    record Demand(CellId cell, CustomerId customer, int added, int urgency) implements PeerMessage {}

    /**
     * Arbiter to entry: start one request of the customer at the target.
     *
     * @param sequence unique for the arbiter's incarnation and cell, growing
     * @param aheadTokens how far the customer's virtual counter is ahead of the least backlogged customer's
     */
    record Grant(CellId cell, long sequence, CustomerId customer, TargetId target, long aheadTokens)
            implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to arbiter: a grant is given back unused. */
    record Decline(CellId cell, long sequence, DeclineReason reason) implements PeerMessage {}

    /** Entry to arbiter: what a granted request has cost so far, in weighted tokens. */
    record Progress(CellId cell, long sequence, long costTokens) implements PeerMessage {}

    /** Entry to arbiter: a granted request has ended and its slot is free. */
    record Ended(CellId cell, long sequence, long costTokens, boolean targetFault) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to the arbiters of the pool's other cells: what backlogged customers were charged in this cell since the
     * last message.
     */
    record Charges(CellId cell, Map<CustomerId, Long> chargedTokens, int freeSlots) implements PeerMessage {}

    /** Any to any: a load report read from a target, passed to the cell's arbiter. */
    record Load(CellId cell, TargetId target, long ageMs, int running, int queued, int maxBatch)
            implements PeerMessage {}

    /**
     * Any to any: this target is leaving or was seen to be gone.
     *
     * @param startedAtMs the start of the target that said so itself, {@link #LISTED} where a list tells it, which may
     *     take it back
     */
    record TargetLeaving(PoolId pool, TargetId target, long startedAtMs) implements PeerMessage {
        public static final long LISTED = -1;

        /** As a list tells it. */
        public TargetLeaving(PoolId pool, TargetId target) {
            this(pool, target, LISTED);
        }
    }

    /** Asks the instance that issued a request key what became of the request. */
    record KeyQuery(long queryId, String key, CustomerId customer) implements PeerMessage {}

    /** Answers {@link KeyQuery}. */
    record KeyReply(long queryId, KeyState state) implements PeerMessage {}

    /** Asks an arbiter whether it ever granted for requests of an entry that is gone. */
    record WitnessQuery(long queryId, CellId cell, String entry, long entryIncarnation, long sinceMs)
            implements PeerMessage {}

    /** Answers {@link WitnessQuery}. */
    record WitnessReply(long queryId, WitnessState state) implements PeerMessage {}

    /** The newest generation of settings that the sender holds. */
    record SettingsHead(long generation, String digest) implements PeerMessage {}

    /** Asks for the bodies that came after the generation that the asker holds; for all with 0. */
    record SettingsQuery(long afterGeneration) implements PeerMessage {}

    /** Bodies of a generation by team, as accepted: all, or those that the asker lacks. */
    record SettingsBodies(long generation, String digest, Map<String, String> bodyByTeam) implements PeerMessage {}

    /**
     * Entry to arbiter: this request waits for a target. Times are what is left, since clocks differ.
     *
     * @param ask names the question; unique within the entry's incarnation
     * @param objectiveLeftMs until the first byte is late, negative where it is late already
     * @param waitLeftMs until the entry refuses the request by itself
     * @param excluded targets that failed the request before
     */
    record Place(
            CellId cell,
            long ask,
            CustomerId customer,
            int urgency,
            List<PromptPart> parts,
            long outputTokens,
            long objectiveLeftMs,
            long waitLeftMs,
            List<TargetId> excluded)
            implements PeerMessage {
        @Override
        public Place delayed(long delayMs) {
            return new Place(
                    cell,
                    ask,
                    customer,
                    urgency,
                    parts,
                    outputTokens,
                    objectiveLeftMs - delayMs,
                    waitLeftMs - delayMs,
                    excluded);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to entry: start the request of this question at the target.
     *
     * @param fetchFrom the target that keeps more of the prompt, null where there is nothing to be fetched
     * @param heldMs how long the arbiter kept the request waiting; at the entry its own backlog is included
     */
    record Placed(
            CellId cell,
            long ask,
            TargetId target,
            @Nullable TargetId fetchFrom,
            long heldMs) implements PeerMessage {
        @Override
        public Placed delayed(long delayMs) {
            return new Placed(cell, ask, target, fetchFrom, heldMs + delayMs);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /**
     * Arbiter to entry: no target can serve the request in a useful time.
     *
     * @param heldMs how long the arbiter kept the request waiting
     */
    record NotPlaced(CellId cell, long ask, long retryAfterMs, long heldMs) implements PeerMessage {
        @Override
        public NotPlaced delayed(long delayMs) {
            return new NotPlaced(cell, ask, retryAfterMs, heldMs + delayMs);
        }

        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to arbiter: a request that waits needs no target any more. */
    record PlaceWithdrawn(CellId cell, long ask) implements PeerMessage {}

    /** Entry to arbiter: the first byte of the answer is there, so the target has read the prompt. */
    record PlacementAnswering(CellId cell, long ask) implements PeerMessage {}

    /** Entry to arbiter: the request has ended at its target, whose place is free. */
    record PlacementEnded(CellId cell, long ask, long outputTokens, PlacementEnd end) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Entry to an arbiter that is new to it: the requests that it has at the cell's targets. */
    record PlacementsHeld(CellId cell, List<HeldPlacement> held) implements PeerMessage {}

    /** Part of {@link PlacementsHeld}. */
    record HeldPlacement(
            long ask, CustomerId customer, TargetId target, long promptTokens, long outputTokens, boolean answering) {}

    /** How a placed request ended at its target. */
    enum PlacementEnd {
        SERVED,
        /** By the target's fault. */
        FAILED,
        /** Nothing was sent to the target. */
        NOT_RUN,
        /** The target could not be reached, or did not execute it and said so. */
        REFUSED,
        /** Given up by its caller or at its deadline. */
        GIVEN_UP
    }

    /** Reader to its data centre and to other readers: how far it has come with the prefixes that it watches. */
    record WatchBeat(List<WatchPosition> positions) implements PeerMessage {}

    /**
     * Part of {@link WatchBeat}.
     *
     * @param changedRevision of the last change that the sender has heard of
     * @param completeRevision up to which it has heard of every change
     */
    record WatchPosition(String prefix, long changedRevision, long completeRevision) {}

    /** Reader to its data centre: what changed below a prefix after one revision and up to another. */
    record WatchNews(String prefix, long fromRevision, long toRevision, List<WatchedEntry> changes)
            implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Asks a reader for all entries below a prefix. */
    record WatchQuery(String prefix) implements PeerMessage {}

    /** Answers {@link WatchQuery}: all entries, as they were at a revision. */
    record WatchCopy(String prefix, long revision, List<WatchedEntry> entries) implements PeerMessage {}

    /**
     * An entry of the platform's key-value service.
     *
     * @param value null where the entry was removed
     * @param createRevision when it was written first
     * @param revision when it was written last, or removed
     */
    record WatchedEntry(String key, @Nullable String value, long createRevision, long revision) {
        public static WatchedEntry removed(String key, long revision) {
            return new WatchedEntry(key, null, 0, revision);
        }
    }

    /**
     * Any to all: targets that ended under requests, and requests that were served though targets had ended under them.
     * What was served is older than the ends told beside it.
     */
    record CrashNews(List<RequestCrash> crashes, List<Long> served) implements PeerMessage {}

    /**
     * Part of {@link CrashNews}: a target ended while it ran a request.
     *
     * @param digest see {@link org.marjoramswitch.kernel.model.RequestSpec#digest}
     * @param ageMs since the end
     */
    record RequestCrash(long digest, TargetId target, long ageMs) {}

    /** Nothing to say; shows that the link still carries. */
    record Heartbeat() implements PeerMessage {}

    /** Asks a peer whether its decisions still run; a link's own heartbeats show only that its socket carries. */
    record Probe(long number) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Answers the {@link Probe} of this number, in order with all else that the peer sends. */
    record ProbeReply(long number) implements PeerMessage {
        @Override
        public boolean prompt() {
            return true;
        }
    }

    /** Part of {@link Register}: requests that wait for a grant. */
    record Offer(CustomerId customer, int waiting, int urgency) {}

    /**
     * Part of {@link Register}: a request in flight. From then on Progress and Ended name it by the sequence {@code
     * -localId}.
     */
    record Holding(long localId, CustomerId customer, TargetId target, long costTokens) {}

    /** Part of {@link Register}: the last {@link Grant#aheadTokens} that the entry was told of a customer. */
    record Standing(CustomerId customer, long aheadTokens) {}

    /** Why a grant was given back. */
    enum DeclineReason {
        NOTHING_WAITING,
        NOT_THE_ARBITER,
        TARGET_LEAVING,
        TARGET_UNKNOWN,
        INSTANCE_LEAVING
    }

    /** What the home instance of a request key knows of it. */
    enum KeyState {
        NEVER_SEEN,
        WAITING,
        SENT,
        ANSWERING,
        ENDED,
        DEAD,
        /** Too old to tell whether it was ever seen. */
        FORGOTTEN
    }

    /** What an arbiter can testify of an entry that is gone. */
    enum WitnessState {
        NEVER_GRANTED,
        GRANTED,
        CANNOT_TELL
    }
}
