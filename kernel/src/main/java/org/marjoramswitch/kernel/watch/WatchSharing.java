package org.marjoramswitch.kernel.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.WatchPosition;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Shares the watches of the platform's key-value store among the instances of a data centre.
 *
 * <p><b>Algorithm.</b> Two instances per data centre, the watchers, watch the store. The first of them forwards each
 * change to the other instances immediately. Every {@value #HEARTBEAT_MS} ms both send them a heartbeat with their
 * positions, so that an instance that missed a change, or whose first watcher is stalled, requests a full copy.
 * Watchers also send heartbeats to the watchers of the other data centres, so that a watcher that the store rejects, or
 * whose connection to it has gone silent, misses nothing that any watcher has seen.
 *
 * <p>An instance that receives no heartbeat from a connected watcher for {@value #STANDALONE_AFTER_MS} ms opens its own
 * watch until it receives heartbeats again. A partial outage, a partition or a crash of both watchers therefore delays
 * updates by that time only.
 *
 * <p>An instance that receives no updates, neither from its own watch nor by a watcher's heartbeat, queries one peer
 * after the other every {@value #HEARTBEAT_MS} ms for the changes after its own revision. It may be the arbiter of pools
 * for its peers, which would otherwise depend on its outdated list of targets for as long as the store does not respond.
 *
 * <p><b>Correctness.</b> There is no agreement protocol: each instance derives the watchers from its own view, and
 * views that differ for a moment only mean one watcher more or fewer. Forwarded changes carry the store's revisions, so
 * stale and duplicate updates have no effect.
 *
 * <p><b>Why.</b> The store counts each waiting call. Three prefixes watched by each of 95 instances are 10 thousand
 * calls in 48 s, a seventh of all requests served to the fleet's users.
 *
 * <p><b>Cost.</b> A watcher sends each heartbeat to its data centre and to the other watchers; a change is sent once to
 * each instance of the data centre. No query is sent while the store responds; otherwise one takes some 30 bytes for
 * each prefix, and only a peer that knows of changes responds. Not thread-safe.
 */
public final class WatchSharing {
    /**
     * Heartbeat interval of a watcher. A missed change is delayed by this time; the bound on the delay is 2 s or more.
     */
    private static final long HEARTBEAT_MS = 500;
    /**
     * Three heartbeats: with fewer, a garbage collection pause of a watcher or a lost packet opens watches that are
     * closed again immediately.
     */
    private static final long STANDALONE_AFTER_MS = 1_500;
    /**
     * Grace period when all instances start together: on the smallest machines it takes seconds until they have
     * discovered one another and the watchers have read the store. Watches opened meanwhile would each receive the
     * other instances' list entries one by one.
     */
    private static final long STARTUP_GRACE_MS = 4_000;
    /** Heartbeats must have arrived for this long before the own watch is closed; prevents oscillation. */
    private static final long MIN_HEARTBEATS_MS = 1_000;
    /**
     * A watcher whose watch has returned nothing for so long, not even the usual empty response every 3 s, is
     * disconnected.
     */
    private static final long CONNECTED_TIMEOUT_MS = 4_500;
    /** Minimum time between two requests for a copy of a prefix. */
    private static final long MIN_QUERY_INTERVAL_MS = 300;

    /**
     * A view that is still growing selects many instances as watchers for a moment; an instance watches only after it
     * has been selected for this long.
     */
    private static final long MIN_SELECTED_MS = 500;

    private static final int WATCHERS = 2;
    /**
     * In a data centre of at most this size heartbeats would cost as much as watches, so all of its instances watch.
     */
    private static final int SMALL_DATA_CENTRE = 4;

    private final Member self;
    private final Map<String, Followed> followed = new TreeMap<>();
    /** The watchers of this data centre; the first one forwards changes. */
    private List<InstanceId> watchers = List.of();
    /** The other instances of this data centre. */
    private List<InstanceId> neighbours = List.of();
    /** The watchers of the other data centres. */
    private List<InstanceId> remoteWatchers = List.of();

    private int peersQueried;
    private final long startedAtMs;
    private boolean everyInstanceWatches;
    private long watchersSinceMs;
    private long lastHeartbeatMs;
    private long heartbeatsSinceMs;
    private long nextHeartbeatMs;

    private WatchSharing(Member self, long nowMs) {
        this.self = self;
        this.startedAtMs = nowMs;
        // At start the instance waits for watchers as if it had just received a heartbeat.
        this.lastHeartbeatMs = nowMs;
        this.heartbeatsSinceMs = nowMs;
    }

    public static WatchSharing create(Member self, long nowMs) {
        return new WatchSharing(self, nowMs);
    }

    /** Handles a new view of the instances that are alive, this one included. */
    public void onView(FleetView view, long nowMs) {
        Map<String, List<InstanceId>> byDataCentre = new TreeMap<>();
        for (Member member : view.members().values()) {
            if (!member.leaving()) {
                byDataCentre
                        .computeIfAbsent(member.dataCentre().name(), missing -> new ArrayList<>())
                        .add(member.id());
            }
        }
        String home = self.dataCentre().name();
        List<InstanceId> localMembers = byDataCentre.getOrDefault(home, List.of());
        List<InstanceId> previous = watchers;
        watchers = watchers(home, localMembers);
        if (!watchers.equals(previous)) {
            watchersSinceMs = nowMs;
            lastHeartbeatMs = nowMs - startedAtMs < STARTUP_GRACE_MS ? nowMs : lastHeartbeatMs;
        }
        everyInstanceWatches = localMembers.size() <= SMALL_DATA_CENTRE;
        neighbours = localMembers.stream()
                .filter(member -> !member.equals(self.id()))
                .toList();
        byDataCentre.remove(home);
        List<InstanceId> remote = new ArrayList<>();
        byDataCentre.forEach((dataCentre, members) -> remote.addAll(watchers(dataCentre, members)));
        remoteWatchers = List.copyOf(remote);
    }

    /** The instances that can send a copy of a prefix: those of this data centre, then the watchers of the others. */
    public List<InstanceId> copyHolders() {
        List<InstanceId> holders = new ArrayList<>(neighbours);
        holders.addAll(remoteWatchers);
        return List.copyOf(holders);
    }

    /**
     * Starts notifications of changes below a prefix that this instance has read completely at this revision. The first
     * ones contain what peers have sent beyond that read.
     */
    public void follow(
            String prefix, long revision, List<WatchedEntry> entries, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.computeIfAbsent(prefix, Followed::new);
        known.active = false;
        known.replace(revision, entries, sink);
        known.active = true;
        if (known.prefix.completeRevision() > revision) {
            known.notifyListener(known.prefix.differencesFrom(entries), sink);
        }
        known.disconnected = false;
        known.lastUpdateMs = nowMs;
        updateWatches(nowMs, sink);
    }

    /** Ends the notifications of a prefix until it is followed again. */
    public void unfollow(String prefix) {
        Followed known = followed.get(prefix);
        if (known != null) {
            known.active = false;
            known.watching = false;
        }
    }

    /** Handles the end of the own watch of a prefix; until it is read completely again, only peers report changes. */
    public void onWatchClosed(String prefix) {
        Followed known = followed.get(prefix);
        if (known != null) {
            known.disconnected = true;
            known.watching = false;
        }
    }

    /** Handles all changes of the own watch up to a revision, perhaps none. */
    public void onWatchUpdate(
            String prefix, long toRevision, List<WatchedEntry> changes, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.get(prefix);
        if (known == null || !known.active) {
            return;
        }
        known.lastUpdateMs = nowMs;
        long fromRevision = known.prefix.completeRevision();
        List<WatchedEntry> newChanges = known.advance(fromRevision, toRevision, changes, sink);
        boolean first = !watchers.isEmpty() && watchers.get(0).equals(self.id());
        if (first && newChanges != null && !newChanges.isEmpty()) {
            PeerMessage message = new PeerMessage.WatchNews(prefix, fromRevision, toRevision, newChanges);
            neighbours.forEach(neighbour -> sink.accept(new WatchAction.Send(neighbour, message)));
        }
    }

    /** Handles a peer's message about watches; returns false for any other message. */
    public boolean onMessage(InstanceId from, PeerMessage message, long nowMs, Consumer<WatchAction> sink) {
        if (message instanceof PeerMessage.WatchBeat heartbeat) {
            onHeartbeat(from, nowMs);
            heartbeat.positions().forEach(position -> compare(from, position, nowMs, sink));
        } else if (message instanceof PeerMessage.WatchNews news) {
            applyChanges(from, news, nowMs, sink);
        } else if (message instanceof PeerMessage.WatchQuery query) {
            sendCopy(from, query.prefix(), sink);
        } else if (message instanceof PeerMessage.WatchChangesQuery query) {
            sendChanges(from, query, sink);
        } else if (message instanceof PeerMessage.WatchCopy copy) {
            Followed known = followed.get(copy.prefix());
            if (known != null && known.active) {
                known.replace(copy.revision(), copy.entries(), sink);
            }
        } else {
            return false;
        }
        return true;
    }

    /** Handles the passage of time; must be called at least once per heartbeat interval. */
    public void onTick(long nowMs, Consumer<WatchAction> sink) {
        updateWatches(nowMs, sink);
        if (nowMs < nextHeartbeatMs) {
            return;
        }
        nextHeartbeatMs = nowMs + HEARTBEAT_MS;
        queryIfDisconnected(nowMs, sink);
        if (!isWatcher(nowMs) || !isConnected(nowMs)) {
            return;
        }
        PeerMessage heartbeat = new PeerMessage.WatchBeat(
                followed.values().stream().map(known -> known.prefix.position()).toList());
        neighbours.forEach(neighbour -> sink.accept(new WatchAction.Send(neighbour, heartbeat)));
        remoteWatchers.forEach(watcher -> sink.accept(new WatchAction.Send(watcher, heartbeat)));
    }

    private static List<InstanceId> watchers(String dataCentre, List<InstanceId> members) {
        return Rendezvous.rank(dataCentre, members).stream().limit(WATCHERS).toList();
    }

    private boolean isWatcher(long nowMs) {
        return !everyInstanceWatches && watchers.contains(self.id()) && nowMs - watchersSinceMs >= MIN_SELECTED_MS;
    }

    private boolean isConnected(long nowMs) {
        return !followed.isEmpty()
                && followed.values().stream()
                        .allMatch(known -> known.active && known.watching && !known.isSilent(nowMs));
    }

    /** Queries the next peer for changes of the prefixes for which this instance receives no updates. */
    private void queryIfDisconnected(long nowMs, Consumer<WatchAction> sink) {
        List<InstanceId> holders = copyHolders();
        boolean hasWatcher = !isWatcher(nowMs) && nowMs - lastHeartbeatMs <= STANDALONE_AFTER_MS;
        if (holders.isEmpty() || (hasWatcher && !everyInstanceWatches)) {
            return;
        }
        InstanceId peer = holders.get(Math.floorMod(peersQueried, holders.size()));
        boolean queried = false;
        for (Followed known : followed.values()) {
            if (known.active && (known.disconnected || (known.watching && known.isSilent(nowMs)))) {
                sink.accept(new WatchAction.Send(
                        peer, new PeerMessage.WatchChangesQuery(known.name, known.prefix.completeRevision())));
                queried = true;
            }
        }
        peersQueried += queried ? 1 : 0;
    }

    private void onHeartbeat(InstanceId from, long nowMs) {
        if (!watchers.contains(from)) {
            return;
        }
        if (nowMs - lastHeartbeatMs > STANDALONE_AFTER_MS) {
            heartbeatsSinceMs = nowMs;
        }
        lastHeartbeatMs = nowMs;
    }

    private void updateWatches(long nowMs, Consumer<WatchAction> sink) {
        boolean isStarting = neighbours.isEmpty() && nowMs - startedAtMs < STARTUP_GRACE_MS;
        boolean standalone = nowMs - lastHeartbeatMs > STANDALONE_AFTER_MS && !isStarting;
        boolean hasStableWatcher = !standalone && nowMs - heartbeatsSinceMs >= MIN_HEARTBEATS_MS;
        for (Followed known : followed.values()) {
            if (known.active && !known.disconnected && !known.watching && (isWatcher(nowMs) || standalone)) {
                known.watching = true;
                known.lastUpdateMs = nowMs;
                sink.accept(new WatchAction.StartWatch(known.name, known.prefix.completeRevision()));
            } else if (known.watching && !isWatcher(nowMs) && hasStableWatcher) {
                known.watching = false;
                sink.accept(new WatchAction.StopWatch(known.name));
            }
        }
    }

    /** Compares a watcher's position with the own one and requests a copy if a change is missing. */
    private void compare(InstanceId from, WatchPosition position, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.get(position.prefix());
        if (known == null || !known.active) {
            return;
        }
        if (position.changedRevision() > known.prefix.completeRevision()) {
            query(known, from, nowMs, sink);
            return;
        }
        known.prefix.advance(known.prefix.completeRevision(), position.completeRevision(), List.of());
    }

    private void applyChanges(InstanceId from, PeerMessage.WatchNews news, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.get(news.prefix());
        if (known == null || !known.active) {
            return;
        }
        if (known.advance(news.fromRevision(), news.toRevision(), news.changes(), sink) == null) {
            query(known, from, nowMs, sink);
        }
    }

    private static void query(Followed known, InstanceId from, long nowMs, Consumer<WatchAction> sink) {
        if (nowMs < known.nextQueryMs) {
            return;
        }
        known.nextQueryMs = nowMs + MIN_QUERY_INTERVAL_MS;
        sink.accept(new WatchAction.Send(from, new PeerMessage.WatchQuery(known.name)));
    }

    private void sendCopy(InstanceId from, String prefix, Consumer<WatchAction> sink) {
        Followed known = followed.get(prefix);
        if (known != null) {
            sink.accept(new WatchAction.Send(
                    from, new PeerMessage.WatchCopy(prefix, known.prefix.completeRevision(), known.prefix.entries())));
        }
    }

    private void sendChanges(InstanceId from, PeerMessage.WatchChangesQuery query, Consumer<WatchAction> sink) {
        Followed known = followed.get(query.prefix());
        if (known == null || !known.prefix.hasChangeAfter(query.afterRevision())) {
            return;
        }
        List<WatchedEntry> changes = known.prefix.changesAfter(query.afterRevision());
        if (changes == null) {
            sendCopy(from, query.prefix(), sink);
            return;
        }
        PeerMessage message = new PeerMessage.WatchNews(
                query.prefix(), query.afterRevision(), known.prefix.completeRevision(), changes);
        sink.accept(new WatchAction.Send(from, message));
    }

    /** The state of one prefix that this instance follows. */
    private static final class Followed {
        private final String name;
        private final WatchedPrefix prefix;
        /**
         * Whether a listener expects notifications.
         */
        private boolean active;

        /** Whether the own watch has ended and the prefix has not been read since. */
        private boolean disconnected;

        private boolean watching;
        private long lastUpdateMs;
        private long nextQueryMs;

        private Followed(String name) {
            this.name = name;
            this.prefix = new WatchedPrefix(name);
        }

        /** Whether the own watch has returned nothing for longer than its call may wait. */
        private boolean isSilent(long nowMs) {
            return nowMs - lastUpdateMs > CONNECTED_TIMEOUT_MS;
        }

        @Nullable
        List<WatchedEntry> advance(
                long fromRevision, long toRevision, List<WatchedEntry> changes, Consumer<WatchAction> sink) {
            List<WatchedEntry> newChanges = prefix.advance(fromRevision, toRevision, changes);
            notifyListener(newChanges == null ? List.of() : newChanges, sink);
            return newChanges;
        }

        void replace(long revision, List<WatchedEntry> entries, Consumer<WatchAction> sink) {
            notifyListener(prefix.replace(revision, entries), sink);
        }

        private void notifyListener(List<WatchedEntry> changes, Consumer<WatchAction> sink) {
            if (active) {
                changes.forEach(change -> sink.accept(new WatchAction.Notify(name, change)));
            }
        }
    }
}
