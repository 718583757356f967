package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.membership.MembershipAction.Change;
import org.marjoramswitch.kernel.membership.MembershipAction.MemberChanged;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Detects which instances are alive with the SWIM protocol (Das, Gupta, Motivala 2002). A deterministic state machine:
 * its inputs are datagrams, instance lists read from the platform, and ticks; its outputs are datagrams to send and
 * views.
 *
 * <p><b>Algorithm.</b> Once per probe interval an instance pings one other member; the members follow one another in
 * random order. If the direct ping is not acknowledged in time, a few other members are requested to ping the target
 * (indirect probes), so that a single broken path between two instances does not raise a suspicion. A member that is
 * not acknowledged by the end of the interval becomes suspect, and dead if it does not refute the suspicion within the
 * suspicion timeout. Updates are piggybacked on these datagrams, each a bounded number of times. The number of
 * datagrams per instance is therefore independent of the fleet's size, and an update reaches all instances in a time
 * that grows with the logarithm of that size.
 *
 * <p><b>Order of updates.</b> Only the member itself raises its incarnation (by restarting) and its revision (by
 * announcing that it leaves, or by refuting a suspicion). The newer pair wins; for equal pairs the worse status wins. A
 * suspected member refutes the suspicion with a higher revision, and an outdated update has no effect however late it
 * arrives.
 *
 * <p><b>Deaths are local.</b> Each instance declares a member dead only after its own suspicion timeout; only
 * suspicions are gossiped. If deaths were gossiped, the first datagram between the two halves of a healed partition
 * would report to each half that its own members are dead.
 *
 * <p><b>Healing of partitions.</b> Once per reconnect interval an instance pings one address that is not held alive: a
 * listed instance, a suspect, or a remembered dead member. The ping carries the suspicion; the receiver refutes it and
 * is back in the view after one round trip. Once per exchange interval two members compare digests of their views and
 * exchange the differences, which repairs what the bounded retransmission has missed. Deaths of the last 30 s are
 * included, as suspicions. Older deaths are not: they are known on this side, and after a partition they would put
 * every living member of the other side under suspicion at once.
 *
 * <p><b>The platform's list lags.</b> It only supplies addresses to contact. It never removes a member that responds,
 * and a member that it does not name yet joins as soon as a datagram of it arrives. The view counts the listed
 * instances that have not responded yet, so that an instance does not take itself for the whole fleet after its start.
 *
 * <p><b>Edge cases.</b> <i>Pause and resume</i>: an instance that stops for 5 s is dead to all others. On resuming, its
 * next tick detects the gap and extends its own deadlines, so it suspects nobody; a ping informs it that it is suspect
 * at revision 0; it responds with revision 1 and returns to the views. <i>Restart without state</i>: the higher
 * incarnation overrides whatever is remembered of the previous one, so the views show it at once even if the death was
 * never detected. <i>Two processes with the same name</i>: the older one sees the higher incarnation and reports itself
 * superseded; it does not refute. <i>Flapping member</i>: each death within the last minute lengthens the suspicion
 * timeout of the next suspicion, up to fourfold, so that the view changes less often.
 *
 * <p><b>Cost.</b> Per interval one ping and on average one acknowledgement, each below 100 bytes without updates; a few
 * hundred bytes of state per member; a tick visits each member once.
 */
public final class FailureDetector {
    private static final int MAX_RELAYS = 256;
    private static final int ANNOUNCE_FANOUT = 8;
    private static final int MAX_EXCHANGE_BUCKETS = 4;
    private static final int MAX_RECONNECTS_WHEN_ALONE = 3;

    private final Member self;
    private final FailureDetectorOptions options;
    private final SplittableRandom random;
    private final MemberTable table;
    private final ProbeOrder order;
    /** Members whose link was lost; probed before the next member in the probe order. */
    private final Set<InstanceId> priorityProbes = new LinkedHashSet<>();

    private final HeadroomReports headroomReports = new HeadroomReports();
    private final Map<InstanceId, ListedInstance> listed = new TreeMap<>();
    private final AwaitedInstances awaited;
    /** Indirect probes on behalf of others, by the number of the ping that this instance sent. */
    private final Map<Long, Relay> relays = new LinkedHashMap<>();

    private List<MembershipAction> actions = new ArrayList<>();
    private @Nullable Probe probe;
    private long nextNumber = 1;
    private long revision;
    private long generation;
    private int headroomPercent = MemberUpdate.FULL_HEADROOM;
    private boolean leaving;
    private boolean left;
    private boolean superseded;
    private boolean viewDirty = true;
    private int awaitedCount;
    private boolean started;
    private long lastTickMs;
    /** Present time at the latest tick or datagram. */
    private long lastInputMs;

    private long nextProbeMs;
    private long nextReconnectMs;
    private long nextExchangeMs;

    private FailureDetector(Member self, FailureDetectorOptions options, long seed) {
        this.self = self;
        this.options = options;
        this.leaving = self.leaving();
        this.random = new SplittableRandom(seed);
        this.order = new ProbeOrder(random);
        this.table = MemberTable.create(options, this::onChange);
        this.awaited = AwaitedInstances.create(self);
    }

    /**
     * Creates a detector that knows only its own instance.
     *
     * @param seed seed of the random choices; the same seed and inputs give the same actions
     */
    public static FailureDetector create(Member self, FailureDetectorOptions options, long seed) {
        return new FailureDetector(self, options, seed);
    }

    /** Handles the passage of time; must be called several times per probe timeout. */
    public List<MembershipAction> onTick(long nowMs) {
        lastInputMs = nowMs;
        if (!started) {
            start(nowMs);
        }
        extendDeadlinesAfterPause(nowMs);
        if (!left) {
            runProbe(nowMs);
            runReconnect(nowMs);
            runExchange(nowMs);
            table.expireSuspicions(nowMs);
        }
        updateAwaited(nowMs);
        publishView();
        return takeActions();
    }

    /** Handles a datagram that arrived from this address. */
    public List<MembershipAction> onDatagram(MemberAddress from, Datagram datagram, long nowMs) {
        lastInputMs = nowMs;
        if (left || isOwnName(datagram.sender())) {
            return takeActions();
        }
        applySender(from, datagram.sender(), nowMs);
        datagram.updates().forEach(update -> applyUpdate(update, nowMs));
        datagram.headroomReports().forEach(report -> applyHeadroom(report, nowMs));
        handleBody(from, datagram.sender().id(), datagram.body(), nowMs);
        return takeActions();
    }

    /** Replaces the addresses known from the platform's list. */
    public List<MembershipAction> onListRead(Map<InstanceId, ListedInstance> instances, long nowMs) {
        if (started) {
            extendDeadlinesAfterPause(nowMs);
        }
        boolean first = listed.isEmpty();
        listed.clear();
        listed.putAll(instances);
        listed.remove(self.id());
        awaited.listed(instances, nowMs);
        if (first && started) {
            nextReconnectMs = nowMs;
        }
        return takeActions();
    }

    /**
     * Schedules a probe of a member whose TCP link broke or went silent. The link alone may be at fault, so this raises
     * no suspicion; the early probe makes the instances that communicate with a crashed member detect it first.
     */
    public void onLinkLost(InstanceId member) {
        priorityProbes.add(member);
    }

    /** Announces that this instance begins its graceful shutdown; others assign it no new responsibilities. */
    public List<MembershipAction> onLeave(long nowMs) {
        if (!leaving) {
            leaving = true;
            revision++;
            viewDirty = true;
            announce();
            publishView();
        }
        return takeActions();
    }

    /** Announces that this instance is about to exit, so that the others need not detect it by probing. */
    public List<MembershipAction> onDepart(long nowMs) {
        if (!left) {
            leaving = true;
            left = true;
            revision++;
            announce();
        }
        return takeActions();
    }

    /** Sets the generation of settings that is in force on this instance; a lower one is ignored. */
    public void announceGeneration(long newGeneration) {
        generation = Math.max(generation, newGeneration);
    }

    /**
     * Sets the headroom that this instance's datagrams carry from now on. It causes neither a datagram nor a new view.
     */
    public void announceHeadroom(int percent) {
        headroomPercent = percent;
    }

    /** Returns the headroom of the instances in the view for which it is known to be below 100%. */
    public Map<InstanceId, Integer> incompleteHeadroom(long nowMs) {
        Map<InstanceId, Integer> incomplete = headroomReports.incomplete(table.present(), nowMs);
        if (headroomPercent < MemberUpdate.FULL_HEADROOM) {
            incomplete.put(self.id(), headroomPercent);
        }
        return incomplete;
    }

    /** Returns the current view, with this instance and all members that are alive or suspect. */
    public FleetView view() {
        List<Member> members = new ArrayList<>();
        members.add(new Member(self.id(), self.incarnation(), self.dataCentre(), leaving, self.processorMillicores()));
        table.present().forEach(entry -> members.add(entry.toMember()));
        return FleetView.of(members).withAwaited(awaitedCount);
    }

    /** Returns the last known generation of settings in force on each member of the view. */
    public Map<InstanceId, Long> generations() {
        Map<InstanceId, Long> generations = new TreeMap<>();
        generations.put(self.id(), generation);
        table.present().forEach(entry -> generations.put(entry.id(), entry.generation()));
        return generations;
    }

    private void start(long nowMs) {
        started = true;
        awaited.start(nowMs);
        lastTickMs = nowMs;
        // A random phase keeps instances that start together from probing at the same moments.
        nextProbeMs = nowMs + random.nextLong(options.probeIntervalMs());
        nextReconnectMs = nowMs;
        nextExchangeMs = nowMs + random.nextLong(options.exchangeIntervalMs());
    }

    /**
     * Extends all deadlines by a gap between ticks: this instance was paused and could not receive, so datagrams that
     * it missed must not raise suspicions.
     */
    private void extendDeadlinesAfterPause(long nowMs) {
        long gapMs = nowMs - lastTickMs;
        lastTickMs = nowMs;
        if (gapMs <= options.maxTickGapMs()) {
            return;
        }
        table.postpone(gapMs);
        awaited.postpone(gapMs);
        if (probe != null) {
            probe.postpone(gapMs);
        }
    }

    // Probing

    private void runProbe(long nowMs) {
        Probe current = probe;
        if (current != null && current.takeIndirectDue(nowMs)) {
            sendPingRequests(current);
        }
        if (current != null && current.hasFailed(nowMs)) {
            onProbeFailed(current, nowMs);
        }
        if (current != null && current.isOver(nowMs)) {
            probe = null;
        }
        if (probe == null && nowMs >= nextProbeMs) {
            nextProbeMs = Math.max(nextProbeMs + options.probeIntervalMs(), nowMs);
            startProbe(nowMs);
        }
    }

    private void startProbe(long nowMs) {
        MemberEntry target = nextTarget();
        if (target == null) {
            return;
        }
        Probe started = Probe.start(target.id(), nextNumber++, nowMs, options);
        probe = started;
        send(target.address(), target, new Datagram.Ping(started.number()));
    }

    private @Nullable MemberEntry nextTarget() {
        while (!priorityProbes.isEmpty()) {
            InstanceId first = priorityProbes.iterator().next();
            priorityProbes.remove(first);
            MemberEntry entry = table.get(first);
            if (entry != null && entry.status() == MemberStatus.ALIVE) {
                return entry;
            }
        }
        return order.next(table);
    }

    private void sendPingRequests(Probe current) {
        MemberEntry target = table.get(current.target());
        if (target == null) {
            return;
        }
        for (MemberEntry helper : order.sample(table, options.indirectProbes(), target)) {
            send(helper.address(), helper, new Datagram.PingRequest(current.number(), target.address()));
        }
    }

    private void onProbeFailed(Probe current, long nowMs) {
        MemberEntry target = table.get(current.target());
        if (target == null || target.status() != MemberStatus.ALIVE) {
            return;
        }
        table.suspect(target, nowMs);
        // Notifies the suspect immediately, since it can only refute a suspicion that it has received.
        send(target.address(), target, new Datagram.Ping(nextNumber++));
    }

    // Reconnecting to instances that are not alive

    private void runReconnect(long nowMs) {
        if (nowMs < nextReconnectMs) {
            return;
        }
        boolean alone = table.size() == 1;
        nextReconnectMs = nowMs + (alone ? options.probeIntervalMs() : options.reconnectIntervalMs());
        List<MemberAddress> absent = absentAddresses();
        int pings = Math.min(absent.size(), alone ? MAX_RECONNECTS_WHEN_ALONE : 1);
        for (int i = 0; i < pings; i++) {
            MemberAddress address = absent.remove(random.nextInt(absent.size()));
            send(address, entryAt(address), new Datagram.Ping(nextNumber++));
        }
    }

    private List<MemberAddress> absentAddresses() {
        List<MemberAddress> absent = new ArrayList<>();
        listed.forEach((id, instance) -> {
            MemberEntry entry = table.get(id);
            if (entry == null || entry.status() != MemberStatus.ALIVE) {
                absent.add(instance.address());
            }
        });
        for (MemberEntry entry : table.notAlive()) {
            if (entry.status() != MemberStatus.LEFT && !listed.containsKey(entry.id())) {
                absent.add(entry.address());
            }
        }
        return absent;
    }

    private @Nullable MemberEntry entryAt(MemberAddress address) {
        for (MemberEntry entry : table.all()) {
            if (entry.address().equals(address)) {
                return entry;
            }
        }
        return null;
    }

    // Anti-entropy: comparing views

    private void runExchange(long nowMs) {
        if (nowMs < nextExchangeMs) {
            return;
        }
        nextExchangeMs = nowMs + options.exchangeIntervalMs();
        table.removeExpired(nowMs);
        for (MemberEntry partner : order.sample(table, 1, null)) {
            send(partner.address(), partner, new Datagram.Compare(digest().digests()));
        }
    }

    private ViewDigest digest() {
        return table.digest(self, revision);
    }

    private void sendBuckets(MemberAddress to, int buckets, boolean wantsReply, long nowMs) {
        List<MemberUpdate> chunk = new ArrayList<>();
        int bytes = 0;
        boolean requestReply = wantsReply;
        for (MemberEntry entry : table.all()) {
            if (!entry.isPresent() && !entry.diedRecently(nowMs, options)) {
                continue;
            }
            if ((buckets & (1 << ViewDigest.bucket(entry.id()))) == 0) {
                continue;
            }
            MemberUpdate update = entry.toUpdate();
            if (bytes + update.estimatedBytes() > options.maxUpdateBytes()) {
                sendRaw(to, new Datagram.Exchange(buckets, requestReply), chunk);
                requestReply = false;
                chunk = new ArrayList<>();
                bytes = 0;
            }
            chunk.add(update);
            bytes += update.estimatedBytes();
        }
        if (!chunk.isEmpty() || requestReply) {
            sendRaw(to, new Datagram.Exchange(buckets, requestReply), chunk);
        }
    }

    // Handling datagrams

    private boolean isOwnName(Datagram.Sender sender) {
        if (!sender.id().equals(self.id())) {
            return false;
        }
        checkSuperseded(sender.incarnation());
        return true;
    }

    private void checkSuperseded(long incarnation) {
        if (incarnation > self.incarnation() && !superseded) {
            superseded = true;
            actions.add(new MemberChanged(self.id(), incarnation, Change.SUPERSEDED));
        }
    }

    private void applySender(MemberAddress from, Datagram.Sender sender, long nowMs) {
        MemberStatus status = sender.left() ? MemberStatus.LEFT : MemberStatus.ALIVE;
        table.apply(
                new MemberUpdate(
                        sender.id(),
                        sender.incarnation(),
                        sender.revision(),
                        status,
                        sender.leaving(),
                        sender.dataCentre(),
                        from,
                        sender.generation(),
                        sender.processorMillicores(),
                        sender.headroomPercent()),
                nowMs);
        headroomReports.heardFromMember(sender.id(), sender.headroomPercent(), nowMs);
        if (sender.generation() > generation) {
            actions.add(new MembershipAction.GenerationSeen(sender.id(), sender.generation()));
        }
    }

    private void applyHeadroom(Datagram.HeadroomReport report, long nowMs) {
        if (report.memberKey() != Datagram.HeadroomReport.key(self.id())) {
            headroomReports.heardFromOther(report, nowMs);
        }
    }

    private void applyUpdate(MemberUpdate update, long nowMs) {
        if (!update.id().equals(self.id())) {
            table.apply(update, nowMs);
            headroomReports.heardWithoutAge(update.id(), update.headroomPercent(), nowMs);
            return;
        }
        checkSuperseded(update.incarnation());
        boolean suspected = update.status() != MemberStatus.ALIVE
                && update.incarnation() == self.incarnation()
                && update.revision() >= revision;
        if (suspected) {
            revision = update.revision() + 1;
            actions.add(new MemberChanged(self.id(), self.incarnation(), Change.REFUTED));
        }
    }

    private void handleBody(MemberAddress from, InstanceId sender, Datagram.Body body, long nowMs) {
        MemberEntry entry = table.get(sender);
        if (body instanceof Datagram.Ping ping) {
            send(from, entry, new Datagram.Ack(ping.number()));
        } else if (body instanceof Datagram.Ack ack) {
            onAck(ack);
        } else if (body instanceof Datagram.PingRequest request) {
            relay(from, request);
        } else if (body instanceof Datagram.Compare compare) {
            int buckets = limitBuckets(digest().differences(compare.digests()));
            if (buckets != 0) {
                sendBuckets(from, buckets, true, nowMs);
            }
        } else if (body instanceof Datagram.Exchange exchange && exchange.wantsReply()) {
            sendBuckets(from, exchange.buckets(), false, nowMs);
        }
    }

    /**
     * Returns a random subset of at most {@link #MAX_EXCHANGE_BUCKETS} buckets; later exchanges cover the others.
     */
    private int limitBuckets(int buckets) {
        int limited = buckets;
        while (Integer.bitCount(limited) > MAX_EXCHANGE_BUCKETS) {
            limited &= ~(1 << random.nextInt(ViewDigest.BUCKETS));
        }
        return limited;
    }

    private void onAck(Datagram.Ack ack) {
        Probe current = probe;
        if (current != null) {
            current.onAck(ack.number());
        }
        Relay relay = relays.remove(ack.number());
        if (relay != null) {
            send(relay.requester(), null, new Datagram.Ack(relay.number()));
        }
    }

    private void relay(MemberAddress from, Datagram.PingRequest request) {
        // A crashed target never acknowledges, so the oldest relays are evicted at the limit.
        if (relays.size() >= MAX_RELAYS) {
            relays.remove(relays.keySet().iterator().next());
        }
        long number = nextNumber++;
        relays.put(number, new Relay(from, request.number()));
        send(request.target(), entryAt(request.target()), new Datagram.Ping(number));
    }

    // Sending

    private void announce() {
        for (MemberEntry entry : order.sample(table, ANNOUNCE_FANOUT, null)) {
            send(entry.address(), entry, new Datagram.Ping(nextNumber++));
        }
    }

    /**
     * Sends a body with queued updates; for a receiver that is not alive its own status comes first, so it can refute.
     */
    private void send(MemberAddress to, @Nullable MemberEntry receiver, Datagram.Body body) {
        List<MemberUpdate> updates = new ArrayList<>();
        if (receiver != null && receiver.status() != MemberStatus.ALIVE) {
            updates.add(receiver.toUpdate());
        }
        updates.addAll(table.takeUpdates());
        sendRaw(to, body, updates);
    }

    private void sendRaw(MemberAddress to, Datagram.Body body, List<MemberUpdate> updates) {
        Datagram.Sender sender = new Datagram.Sender(
                self.id(),
                self.incarnation(),
                revision,
                leaving,
                left,
                self.dataCentre(),
                generation,
                self.processorMillicores(),
                headroomPercent);
        actions.add(new MembershipAction.Send(
                to, new Datagram(sender, body, List.copyOf(updates), headroomReports.toForward(lastInputMs))));
    }

    private void onChange(MemberEntry entry, Change change) {
        actions.add(new MemberChanged(entry.id(), entry.incarnation(), change));
        viewDirty |= change != Change.SUSPECTED && change != Change.CLEARED;
    }

    private void updateAwaited(long nowMs) {
        int count = awaited.count(this::isPresent, nowMs);
        viewDirty |= count != awaitedCount;
        awaitedCount = count;
    }

    private boolean isPresent(InstanceId id) {
        MemberEntry entry = table.get(id);
        return entry != null && entry.isPresent();
    }

    /**
     * Publishes the view if it changed. Called on ticks and on leaving, so that concurrent changes share one view.
     */
    private void publishView() {
        if (viewDirty) {
            viewDirty = false;
            actions.add(new MembershipAction.ViewChanged(view(), addresses()));
        }
    }

    private List<MembershipAction> takeActions() {
        List<MembershipAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    private Map<InstanceId, MemberAddress> addresses() {
        Map<InstanceId, MemberAddress> addresses = new TreeMap<>();
        table.present().forEach(entry -> addresses.put(entry.id(), entry.address()));
        return addresses;
    }

    /** The requester of an indirect probe and the number that its acknowledgement must carry. */
    private record Relay(MemberAddress requester, long number) {}
}
