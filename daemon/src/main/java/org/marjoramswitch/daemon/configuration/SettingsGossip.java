package org.marjoramswitch.daemon.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.AcceptorRoles;
import org.marjoramswitch.kernel.configuration.GenerationHolder;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Distributes generations between instances by gossip, so that the number of watches on the key-value store does not
 * grow with the fleet.
 *
 * <p>Each instance selects a few partners by rendezvous hashing. An instance that activates a new generation announces
 * it to its partners and to the peers that recently contacted it; a peer with an older generation queries the sender
 * for the bodies that it is missing. Every few seconds an instance also announces its generation to one of these peers,
 * which replies with its own if that is newer. This makes up for messages lost by a failure or a partition, and reaches
 * instances that no other instance has selected as a partner.
 *
 * <p>The partner links form a random graph in which each instance selects three others. The graph is undirected because
 * both ends of a link send announcements. Such a graph is connected except with negligible probability, and its path
 * lengths grow with the logarithm of the fleet size: four to six hops at 350 instances, each a round trip.
 *
 * <p>Cost per instance: one head every few seconds. For each change some heads and one query, and the bodies of the
 * changed teams received once and sent once on average.
 */
final class SettingsGossip {
    /**
     * Large enough for all instances that selected this one as a partner, three on average. If one of them is evicted
     * and no other instance selected it, it receives a change only through its own periodic announcements: after
     * seconds instead of milliseconds.
     */
    private static final int MAX_RECENT_PEERS = 24;

    private final InstanceId self;
    private final ActiveSettings activeSettings;
    private final PeerSender peers;
    private final ConfigurationOptions options;
    private final SplittableRandom random;
    private final Set<InstanceId> recentPeers = new LinkedHashSet<>();
    private final Map<InstanceId, Long> generationByPeer = new LinkedHashMap<>();
    private List<InstanceId> partners = List.of();
    private List<InstanceId> acceptors = List.of();
    private @Nullable Query query;
    private long announceAtMs;

    private SettingsGossip(LoopContext context, SplittableRandom random) {
        this.self = context.self();
        this.activeSettings = context.activeSettings();
        this.peers = context.peers();
        this.options = context.options();
        this.random = random;
    }

    static SettingsGossip of(LoopContext context, SplittableRandom random) {
        SettingsGossip gossip = new SettingsGossip(context, random);
        context.activeSettings().onAdopted(tree -> gossip.announce());
        return gossip;
    }

    void onView(FleetView view, long nowMs) {
        List<InstanceId> others =
                view.members().keySet().stream().filter(id -> !id.equals(self)).toList();
        partners = Rendezvous.rank(self.toString(), others).stream()
                .limit(options.gossipPartners())
                .toList();
        acceptors = AcceptorRoles.acceptors(view, options.acceptorsPerDataCentre());
        recentPeers.retainAll(view.members().keySet());
        generationByPeer.keySet().retainAll(view.members().keySet());
        if (activeSettings.generation() == 0) {
            queryIfBehind(nowMs);
        }
    }

    /** Handles a generation that the membership protocol announces for a peer. */
    void onAnnounced(InstanceId peer, long generation, long nowMs) {
        generationByPeer.merge(peer, generation, Math::max);
        activeSettings.noteAnnounced(generation);
        queryIfBehind(nowMs);
    }

    void onHead(InstanceId from, PeerMessage.SettingsHead head, long nowMs) {
        addRecentPeer(from);
        long held = activeSettings.generation();
        if (head.generation() < held) {
            peers.send(from, head());
            return;
        }
        if (activeSettings.noteAnnounced(head.generation(), head.digest()) && !acceptors.contains(self)) {
            // Only an acceptor can resolve the contradiction, and it may never contact a peer with the other content.
            acceptors.forEach(acceptor -> peers.send(acceptor, head));
        }
        generationByPeer.merge(from, head.generation(), Math::max);
        queryIfBehind(nowMs);
    }

    void onQuery(InstanceId from, PeerMessage.SettingsQuery received) {
        addRecentPeer(from);
        AcceptedTree tree = activeSettings.tree();
        if (tree.generation() <= received.afterGeneration()) {
            return;
        }
        Map<String, String> bodies =
                received.afterGeneration() == 0 ? tree.bodyByTeam() : tree.bodiesAfter(received.afterGeneration());
        peers.send(
                from,
                new PeerMessage.SettingsBodies(tree.generation(), tree.head().digest(), bodies));
    }

    void onBodies(InstanceId from, PeerMessage.SettingsBodies bodies, long nowMs) {
        generationByPeer.merge(from, bodies.generation(), Math::max);
        boolean answersQuery = query != null && query.peer().equals(from);
        GenerationHolder.Result result =
                activeSettings.adopt(bodies.generation(), bodies.digest(), bodies.bodyByTeam(), from.toString());
        if (!answersQuery) {
            return;
        }
        boolean queriedAll = query != null && query.afterGeneration() == 0;
        query = null;
        if (result instanceof GenerationHolder.Incomplete && !queriedAll) {
            // The peer's changed bodies do not match the held ones: a team was removed, or the contents differ after a
            // restore of the store. The complete set of bodies matches in any case.
            send(from, 0, nowMs);
            return;
        }
        queryIfBehind(nowMs);
    }

    void tick(long nowMs) {
        if (query != null && query.timeoutAtMs() <= nowMs) {
            generationByPeer.remove(query.peer());
            query = null;
            queryIfBehind(nowMs);
        }
        if (nowMs < announceAtMs) {
            return;
        }
        announceAtMs = nowMs + jittered(options.announceMs());
        queryIfBehind(nowMs);
        List<InstanceId> gossipPeers = gossipPeers();
        if (!gossipPeers.isEmpty()) {
            peers.send(gossipPeers.get(random.nextInt(gossipPeers.size())), head());
        }
    }

    long nextDueMs() {
        return query == null ? announceAtMs : Math.min(announceAtMs, query.timeoutAtMs());
    }

    /**
     * Sends a query if this instance has no settings or a newer generation is known, and no query is outstanding. The
     * peer is one that is known to hold a newer generation, or else any gossip peer.
     */
    private void queryIfBehind(long nowMs) {
        long held = activeSettings.generation();
        if (query != null || (held > 0 && activeSettings.highestSeen() <= held)) {
            return;
        }
        List<InstanceId> holders = new ArrayList<>(generationByPeer.keySet());
        holders.removeIf(peer -> generationByPeer.getOrDefault(peer, 0L) <= held);
        List<InstanceId> candidates = holders.isEmpty() ? gossipPeers() : holders;
        if (!candidates.isEmpty()) {
            send(candidates.get(random.nextInt(candidates.size())), held, nowMs);
        }
    }

    private void send(InstanceId peer, long afterGeneration, long nowMs) {
        query = new Query(peer, afterGeneration, nowMs + jittered(options.queryTimeoutMs()));
        peers.send(peer, new PeerMessage.SettingsQuery(afterGeneration));
    }

    private void announce() {
        gossipPeers().forEach(peer -> peers.send(peer, head()));
    }

    /** A random time between half and one and a half times the given one; desynchronises instances started together. */
    private long jittered(long timeMs) {
        return timeMs / 2 + random.nextLong(timeMs);
    }

    private PeerMessage.SettingsHead head() {
        AcceptedTree tree = activeSettings.tree();
        return new PeerMessage.SettingsHead(tree.generation(), tree.head().digest());
    }

    private List<InstanceId> gossipPeers() {
        Set<InstanceId> gossipPeers = new LinkedHashSet<>(partners);
        gossipPeers.addAll(recentPeers);
        return List.copyOf(gossipPeers);
    }

    private void addRecentPeer(InstanceId peer) {
        recentPeers.remove(peer);
        recentPeers.add(peer);
        if (recentPeers.size() > MAX_RECENT_PEERS) {
            recentPeers.remove(recentPeers.iterator().next());
        }
    }

    /** The outstanding query. */
    private record Query(InstanceId peer, long afterGeneration, long timeoutAtMs) {}
}
