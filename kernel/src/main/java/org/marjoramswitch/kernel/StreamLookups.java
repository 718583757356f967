package org.marjoramswitch.kernel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.stream.ServedVersions;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Finds the software version of resumed streams that this arbiter has no record of, by asking the instances that hold
 * the pool's records.
 *
 * <p>What this instance has recorded and listed does not show what it has missed: it may have been paused, or be cut
 * off without having detected it, while a stream began at a version that it has not listed. A reply that was sent after
 * the request arrived shows what the peer knew then. A record at any peer is sufficient. Without one, the stream
 * continues only if a single version has served its pool by the knowledge of all peers asked. A request of this
 * instance's own caller whose version is newer than the list of targets that was read waits for the list.
 *
 * <p>Cost: a message to each holder and a reply for each stream without a record, which are rare: those that began
 * within the replication interval before a crash, or while this instance was unreachable. Not thread-safe.
 */
final class StreamLookups {
    /** Below the delay at which an entry takes its arbiter for late. */
    private static final long MAX_WAIT_MS = 250;
    /** Bounds the messages to each holder after a crash of many instances; further streams are rejected. */
    private static final int MAX_LOOKUPS = 500;
    /** Peers to ask if the pool has no holders, since all other instances are draining. */
    private static final int MAX_SUBSTITUTES = 8;

    private final InstanceId self;
    private final FleetState fleet;
    private final StreamDirectory streams;
    private final ServedVersions servedVersions;
    private final Function<PoolId, Set<InstanceId>> holders;
    private final Set<Lookup> open = new LinkedHashSet<>();
    private final Map<Long, Lookup> byQuery = new HashMap<>();
    private long lastQueryId;

    private StreamLookups(
            InstanceId self,
            FleetState fleet,
            StreamDirectory streams,
            ServedVersions servedVersions,
            Function<PoolId, Set<InstanceId>> holders) {
        this.self = self;
        this.fleet = fleet;
        this.streams = streams;
        this.servedVersions = servedVersions;
        this.holders = holders;
    }

    /** @param holders the reachable instances, other than this one, that hold the records of a pool */
    static StreamLookups of(
            InstanceId self,
            FleetState fleet,
            StreamDirectory streams,
            ServedVersions servedVersions,
            Function<PoolId, Set<InstanceId>> holders) {
        return new StreamLookups(self, fleet, streams, servedVersions, holders);
    }

    /**
     * A placement request whose stream has been looked up.
     *
     * @param delayMs how long its message waited at this instance
     * @param arrivedAtMs when the message was received
     * @param softwareVersion null if the version is not certain
     */
    record Result(
            InstanceId entry,
            PeerMessage.Place place,
            long delayMs,
            long arrivedAtMs,
            @Nullable String softwareVersion) {}

    boolean isWaiting() {
        return !open.isEmpty();
    }

    /** Whether a version may be newer than the list of targets that this instance has read. */
    boolean isUnlisted(PoolId pool, String softwareVersion) {
        return servedVersions.isUnlisted(pool, softwareVersion);
    }

    /** Starts the lookup of a request's stream; returns the result if no peer needs to be asked. */
    Optional<Result> start(InstanceId entry, PeerMessage.Place place, long delayMs, long nowMs, ActionSink sink) {
        withdraw(entry, place.placementId());
        Lookup lookup = new Lookup(entry, place, delayMs, nowMs);
        // A stream of this route may last as long as this request, also if none has been seen since the start.
        servedVersions.streamMayLast(place.deadlineLeftMs());
        if (open.size() >= MAX_LOOKUPS) {
            return Optional.of(lookup.result(recordedVersion(lookup, nowMs)));
        }
        open.add(lookup);
        if (!place.softwareVersion().isEmpty()) {
            lookup.recordedByPeer = place.softwareVersion();
        }
        Optional<Result> result = takeIfFinished(lookup, nowMs, sink);
        if (result.isEmpty()) {
            askHolders(lookup, peersToAsk(lookup.pool()), nowMs, sink);
        }
        return result;
    }

    /** Replies to a peer's question with what this instance knows. */
    void reply(InstanceId from, PeerMessage.StreamQuery query, long nowMs, ActionSink sink) {
        String version = streams.versionOf(query.pool(), query.streamKey(), nowMs);
        PeerMessage.VersionHistory history = servedVersions.history(nowMs);
        List<PeerMessage.ServedVersion> versions = history == null
                ? List.of()
                : history.versions().stream()
                        .filter(served -> served.pool().equals(query.pool()))
                        .toList();
        long knownForMs = history == null ? 0 : history.knownForMs();
        sink.accept(new Action.SendPeer(
                from,
                new PeerMessage.StreamReply(query.queryId(), version == null ? "" : version, knownForMs, versions)));
    }

    /** Adds what a peer knows of a stream; returns the result if the lookup is finished by it. */
    Optional<Result> replied(InstanceId from, PeerMessage.StreamReply reply, long nowMs, ActionSink sink) {
        Lookup lookup = byQuery.get(reply.queryId());
        if (lookup == null || !lookup.isLatestQuery(from, reply.queryId())) {
            return Optional.empty();
        }
        lookup.replied.add(from);
        servedVersions.add(new PeerMessage.VersionHistory(reply.knownForMs(), reply.versions()), nowMs);
        if (!reply.softwareVersion().isEmpty()) {
            lookup.recordedByPeer = reply.softwareVersion();
        }
        return takeIfFinished(lookup, nowMs, sink);
    }

    /** Messages on an older link to the peer may be lost, so it is asked again by the next {@link #tick}. */
    void connected(InstanceId peer) {
        open.forEach(lookup -> {
            if (!lookup.replied.contains(peer)) {
                lookup.queries.remove(peer);
            }
        });
    }

    /** Asks the holders that have become reachable, and returns the lookups that are finished or have waited too long. */
    List<Result> tick(long nowMs, ActionSink sink) {
        List<Result> finished = new ArrayList<>();
        Map<PoolId, Set<InstanceId>> peersByPool = new HashMap<>();
        for (Lookup lookup : List.copyOf(open)) {
            askHolders(lookup, peersByPool.computeIfAbsent(lookup.pool(), this::peersToAsk), nowMs, sink);
            takeIfFinished(lookup, nowMs, sink).ifPresent(finished::add);
        }
        return finished;
    }

    /** Ends the lookup of a request that no longer needs a target. */
    void withdraw(InstanceId entry, long placementId) {
        removeIf(lookup -> lookup.entry.equals(entry) && lookup.place.placementId() == placementId);
    }

    /** Ends the lookups of an entry that is gone or sends its complete state on a new link. */
    void removeEntry(InstanceId entry) {
        removeIf(lookup -> lookup.entry.equals(entry));
    }

    private void removeIf(Predicate<Lookup> condition) {
        open.stream().filter(condition).toList().forEach(this::remove);
    }

    private void remove(Lookup lookup) {
        open.remove(lookup);
        byQuery.values().removeIf(lookup::equals);
    }

    /** The holders of the pool's records, or other reachable instances if there are none. */
    private Set<InstanceId> peersToAsk(PoolId pool) {
        Set<InstanceId> known = holders.apply(pool);
        if (!known.isEmpty()) {
            return known;
        }
        return fleet.view().members().keySet().stream()
                .filter(peer -> !peer.equals(self) && !fleet.unreachable().contains(peer))
                .limit(MAX_SUBSTITUTES)
                .collect(Collectors.toSet());
    }

    private void askHolders(Lookup lookup, Set<InstanceId> peers, long nowMs, ActionSink sink) {
        if (recordedVersion(lookup, nowMs) != null) {
            return;
        }
        for (InstanceId peer : peers) {
            if (!lookup.queries.containsKey(peer)) {
                // Also higher than the ids of an earlier process of this instance.
                lastQueryId = Math.max(lastQueryId + 1, nowMs);
                lookup.queries.put(peer, lastQueryId);
                byQuery.put(lastQueryId, lookup);
                sink.accept(new Action.SendPeer(
                        peer, new PeerMessage.StreamQuery(lastQueryId, lookup.pool(), lookup.place.resumedStream())));
            }
        }
    }

    private Optional<Result> takeIfFinished(Lookup lookup, long nowMs, ActionSink sink) {
        if (!isFinished(lookup, nowMs)) {
            return Optional.empty();
        }
        remove(lookup);
        Result result = lookup.result(version(lookup, nowMs));
        if (!lookup.queries.isEmpty() || nowMs > lookup.arrivedAtMs) {
            log(lookup, result, nowMs, sink);
        }
        return Optional.of(result);
    }

    private void log(Lookup lookup, Result result, long nowMs, ActionSink sink) {
        sink.accept(new Action.Decided(Decision.of(
                "stream_looked_up",
                "pool",
                lookup.pool(),
                "entry",
                lookup.entry,
                "softwareVersion",
                result.softwareVersion() == null ? "unknown" : result.softwareVersion(),
                "recorded",
                recordedVersion(lookup, nowMs) != null,
                "replies",
                lookup.replied.size(),
                "missing",
                lookup.queries.size() - lookup.replied.size(),
                "unreachable",
                fleet.unreachable().size(),
                "waitedMs",
                nowMs - lookup.arrivedAtMs)));
    }

    private boolean isFinished(Lookup lookup, long nowMs) {
        if (nowMs - lookup.arrivedAtMs >= MAX_WAIT_MS) {
            return true;
        }
        String recorded = recordedVersion(lookup, nowMs);
        if (recorded != null) {
            // The entry of another instance can ask another arbiter; this one waits for its own list.
            return !(lookup.entry.equals(self) && isUnlisted(lookup.pool(), recorded));
        }
        if (!lookup.isNamed() && servedVersions.onlyVersion(lookup.pool(), nowMs) == null) {
            return true;
        }
        // In the larger part of the fleet, instances that cannot be reached are the ones that are cut off.
        boolean isAnswered = hasAllReplies(lookup) && fleet.reachesMajority(nowMs);
        return isAmbiguous(lookup, nowMs) || isAnswered || isFleetKnown(lookup, nowMs);
    }

    private boolean hasAllReplies(Lookup lookup) {
        return !lookup.replied.isEmpty() && lookup.replied.containsAll(peersToAsk(lookup.pool()));
    }

    /** The version of the stream; null if it is not certain. */
    private @Nullable String version(Lookup lookup, long nowMs) {
        String recorded = recordedVersion(lookup, nowMs);
        if (recorded != null || isAmbiguous(lookup, nowMs)) {
            return recorded;
        }
        return isFleetKnown(lookup, nowMs) ? servedVersions.onlyVersion(lookup.pool(), nowMs) : null;
    }

    /**
     * Whether the replies show which versions have served. A stream that nobody has recorded may have begun at an instance
     * that cannot be reached, at a version that only that instance has listed. A holder that has just become reachable has
     * not been asked yet.
     */
    private boolean isFleetKnown(Lookup lookup, long nowMs) {
        if (!fleet.unreachable().isEmpty() || !fleet.reachesMajority(nowMs)) {
            return false;
        }
        if (lookup.isNamed() && fleet.hasLostMembers(nowMs)) {
            return false;
        }
        return fleet.view().members().size() == 1 || hasAllReplies(lookup);
    }

    private boolean isAmbiguous(Lookup lookup, long nowMs) {
        return streams.isAmbiguous(lookup.pool(), lookup.place.resumedStream(), nowMs);
    }

    private @Nullable String recordedVersion(Lookup lookup, long nowMs) {
        if (isAmbiguous(lookup, nowMs)) {
            return null;
        }
        String recorded = streams.versionOf(lookup.pool(), lookup.place.resumedStream(), nowMs);
        return recorded == null ? lookup.recordedByPeer : recorded;
    }

    private static final class Lookup {
        private final InstanceId entry;
        private final PeerMessage.Place place;
        private final long delayMs;
        private final long arrivedAtMs;
        /** The latest question to each peer. */
        private final Map<InstanceId, Long> queries = new TreeMap<>();

        private final Set<InstanceId> replied = new TreeSet<>();
        private @Nullable String recordedByPeer;

        private Lookup(InstanceId entry, PeerMessage.Place place, long delayMs, long nowMs) {
            this.entry = entry;
            this.place = place;
            this.delayMs = delayMs;
            this.arrivedAtMs = nowMs;
        }

        private PoolId pool() {
            return place.cell().pool();
        }

        /** Whether the caller names the attempt that began the stream. */
        private boolean isNamed() {
            return place.resumedStream() != PeerMessage.Place.UNNAMED_STREAM;
        }

        private boolean isLatestQuery(InstanceId peer, long queryId) {
            Long latest = queries.get(peer);
            return latest != null && latest == queryId;
        }

        private Result result(@Nullable String softwareVersion) {
            return new Result(entry, place, delayMs, arrivedAtMs, softwareVersion);
        }
    }
}
