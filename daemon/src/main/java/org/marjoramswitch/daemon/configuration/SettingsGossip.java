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
 * Spreads generations between instances, so that watches on the platform's service do not grow with the fleet.
 *
 * <p>Each instance has a few partners by rendezvous hashing. Who puts a new generation in force tells its partners and
 * those that lately talked to it; whoever holds an older one asks the teller for the bodies that it lacks. Every few
 * seconds an instance also tells one of these what it holds, and who holds a newer one answers with that: so what a
 * lost message or a partition kept back arrives after all, and an instance that nobody has for a partner asks by itself.
 *
 * <p>The links between partners form a random graph in which each instance chose three others, undirected, as tellers
 * and told both speak. Such a graph is connected but for a vanishing chance, and its paths grow with the logarithm of
 * the fleet: four to six hops at 350 instances, each a round trip.
 *
 * <p>Cost for each instance: one head each few seconds; for each change some heads, one query and the bodies of the
 * changed teams once in, and out as often as others ask this instance, once on average.
 */
final class SettingsGossip {
    /**
     * Room for all that chose this instance as a partner, three on average. Where one of them was pushed out and nobody
     * chose it, it would hear of a change only when it asks by itself: seconds instead of milliseconds.
     */
    private static final int MAX_RECENT = 24;

    private final InstanceId self;
    private final ActiveSettings inForce;
    private final PeerSender peers;
    private final ConfigurationOptions options;
    private final SplittableRandom random;
    private final Set<InstanceId> recent = new LinkedHashSet<>();
    private final Map<InstanceId, Long> generationByPeer = new LinkedHashMap<>();
    private List<InstanceId> partners = List.of();
    private List<InstanceId> acceptors = List.of();
    private @Nullable Query query;
    private long announceAtMs;

    private SettingsGossip(LoopContext parts, SplittableRandom random) {
        this.self = parts.self();
        this.inForce = parts.inForce();
        this.peers = parts.peers();
        this.options = parts.options();
        this.random = random;
    }

    static SettingsGossip of(LoopContext parts, SplittableRandom random) {
        SettingsGossip spreader = new SettingsGossip(parts, random);
        parts.inForce().onAdopted(tree -> spreader.announce());
        return spreader;
    }

    void onView(FleetView view, long nowMs) {
        List<InstanceId> others =
                view.members().keySet().stream().filter(id -> !id.equals(self)).toList();
        partners = Rendezvous.rank(self.toString(), others).stream()
                .limit(options.partners())
                .toList();
        acceptors = AcceptorRoles.acceptors(view, options.acceptorsPerDataCentre());
        recent.retainAll(view.members().keySet());
        generationByPeer.keySet().retainAll(view.members().keySet());
        if (inForce.generation() == 0) {
            ask(nowMs);
        }
    }

    /** The membership says that a peer holds a generation. */
    void onSeen(InstanceId peer, long generation, long nowMs) {
        generationByPeer.merge(peer, generation, Math::max);
        inForce.seen(generation);
        ask(nowMs);
    }

    void onHead(InstanceId from, PeerMessage.SettingsHead head, long nowMs) {
        remember(from);
        long held = inForce.generation();
        if (head.generation() < held) {
            peers.send(from, head());
            return;
        }
        if (inForce.seen(head.generation(), head.digest()) && !acceptors.contains(self)) {
            // Only an acceptor can settle it, and it may never talk to one that holds the other content.
            acceptors.forEach(acceptor -> peers.send(acceptor, head));
        }
        generationByPeer.merge(from, head.generation(), Math::max);
        ask(nowMs);
    }

    void onQuery(InstanceId from, PeerMessage.SettingsQuery asked) {
        remember(from);
        AcceptedTree tree = inForce.tree();
        if (tree.generation() <= asked.afterGeneration()) {
            return;
        }
        Map<String, String> bodies =
                asked.afterGeneration() == 0 ? tree.bodyByTeam() : tree.bodiesAfter(asked.afterGeneration());
        peers.send(
                from,
                new PeerMessage.SettingsBodies(tree.generation(), tree.head().digest(), bodies));
    }

    void onBodies(InstanceId from, PeerMessage.SettingsBodies bodies, long nowMs) {
        generationByPeer.merge(from, bodies.generation(), Math::max);
        boolean asked = query != null && query.peer().equals(from);
        GenerationHolder.Result result =
                inForce.adopt(bodies.generation(), bodies.digest(), bodies.bodyByTeam(), from.toString());
        if (!asked) {
            return;
        }
        boolean whole = query != null && query.afterGeneration() == 0;
        query = null;
        if (result instanceof GenerationHolder.Incomplete && !whole) {
            // The peer's bodies since our generation do not fit ours: a team went away, or the two sides of a restored
            // service differ. The whole of it fits in any case.
            send(from, 0, nowMs);
            return;
        }
        ask(nowMs);
    }

    void tick(long nowMs) {
        if (query != null && query.timeoutAtMs() <= nowMs) {
            generationByPeer.remove(query.peer());
            query = null;
            ask(nowMs);
        }
        if (nowMs < announceAtMs) {
            return;
        }
        announceAtMs = nowMs + jittered(options.announceMs());
        ask(nowMs);
        List<InstanceId> told = told();
        if (!told.isEmpty()) {
            peers.send(told.get(random.nextInt(told.size())), head());
        }
    }

    long nextMs() {
        return query == null ? announceAtMs : Math.min(announceAtMs, query.timeoutAtMs());
    }

    /** Asks for what is newer, where something is and no peer is being asked: one that is known to hold it, or any. */
    private void ask(long nowMs) {
        long held = inForce.generation();
        if (query != null || (held > 0 && inForce.highestSeen() <= held)) {
            return;
        }
        List<InstanceId> holders = new ArrayList<>(generationByPeer.keySet());
        holders.removeIf(peer -> generationByPeer.getOrDefault(peer, 0L) <= held);
        List<InstanceId> candidates = holders.isEmpty() ? told() : holders;
        if (!candidates.isEmpty()) {
            send(candidates.get(random.nextInt(candidates.size())), held, nowMs);
        }
    }

    private void send(InstanceId peer, long afterGeneration, long nowMs) {
        query = new Query(peer, afterGeneration, nowMs + jittered(options.queryTimeoutMs()));
        peers.send(peer, new PeerMessage.SettingsQuery(afterGeneration));
    }

    private void announce() {
        told().forEach(peer -> peers.send(peer, head()));
    }

    /** Between a half and one and a half of a time, so that instances started together do not ask in step. */
    private long jittered(long timeMs) {
        return timeMs / 2 + random.nextLong(timeMs);
    }

    private PeerMessage.SettingsHead head() {
        AcceptedTree tree = inForce.tree();
        return new PeerMessage.SettingsHead(tree.generation(), tree.head().digest());
    }

    private List<InstanceId> told() {
        Set<InstanceId> told = new LinkedHashSet<>(partners);
        told.addAll(recent);
        return List.copyOf(told);
    }

    private void remember(InstanceId peer) {
        recent.remove(peer);
        recent.add(peer);
        if (recent.size() > MAX_RECENT) {
            recent.remove(recent.iterator().next());
        }
    }

    /** The one query that is outstanding. */
    private record Query(InstanceId peer, long afterGeneration, long timeoutAtMs) {}
}
