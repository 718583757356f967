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
 * Finds out which instances are alive, in the manner of SWIM (Das, Gupta, Motivala 2002): datagrams, lists read from the
 * platform and ticks go in, datagrams to send and views come out.
 *
 * <p><b>Idea.</b> Once per interval an instance probes one other, each in turn in a random order. Without an answer it
 * asks a few others to probe in its stead, so that one broken path between two instances accuses nobody. Without an
 * answer by the end of the interval the probed one is suspect; it is dead when it has not shown itself within the
 * suspicion time. News rides on the probes, each item a bounded number of times. So an instance sends and receives the
 * same number of datagrams whatever the size of the fleet, and news reaches all in a time that grows with the logarithm.
 *
 * <p><b>Order of news.</b> Only the member itself raises its incarnation (by a restart) and its revision (by leaving, or
 * in answer to a suspicion). The newer pair wins, for equal pairs the worse status. So a member that hears that it is
 * suspect clears itself with a higher revision, and old news changes nothing, however late it comes.
 *
 * <p><b>Nobody's word buries a member.</b> Death is concluded by each instance alone, after its own wait. What is passed
 * on is the suspicion. Were death passed on, the first datagram between two halves of a fleet that meet again would
 * bring each half the news that its own members are dead.
 *
 * <p><b>Partitions heal.</b> Once per contact interval an instance pings one that it does not hold alive: one of the
 * platform's list, a suspect, or a dead one that it remembers. The ping carries the suspicion, the other clears itself and answers,
 * and is back in the view one round trip later. Once per exchange interval two members compare digests of their views
 * and exchange what differs, deaths of the last half minute included as suspicions, which repairs what the bounded
 * retransmission has missed. Older deaths are not told: they are known on this side, and on the other side of a
 * partition that has healed they would put every living member under suspicion at once.
 *
 * <p><b>The list lags.</b> It says whom to try. It never removes a member that answers, and a member that it does not
 * name yet is taken in when it shows itself.
 *
 * <p><b>Odd cases.</b> <i>Paused and resumed</i>: leith-b-1 stops for 5 s and is dead to all. On resuming, its next tick
 * shows the gap, so it holds its own wait against nobody; a ping that reaches it says that it is suspect at revision 0;
 * it answers as revision 1 and is back. <i>Restarted empty</i>: its incarnation is higher, so whatever is remembered of
 * the old one is overridden and the view shows the new incarnation at once, even where the death was never noticed.
 * <i>Two processes under one name</i>: the older one learns of the higher incarnation and reports itself superseded; it
 * does not argue. <i>Unsteady member</i>: after each death within the last minute its next suspicion waits longer, up to
 * four times, so that the view changes less often.
 *
 * <p><b>Cost.</b> Per interval one ping and on average one answer to another's ping, each below 100 bytes without news;
 * state of a few hundred bytes per member; a tick looks at each member once.
 */
public final class FailureDetector {
    private static final int MAX_RELAYS = 256;
    private static final int ANNOUNCE_TO = 8;
    private static final int MAX_EXCHANGE_BUCKETS = 4;
    private static final int MAX_CONTACTS_WHEN_ALONE = 3;

    private final Member self;
    private final FailureDetectorOptions options;
    private final SplittableRandom random;
    private final MemberTable table;
    private final ProbeOrder order;
    /** Members that something else reported unreachable, to be probed before their turn. */
    private final Set<InstanceId> urgent = new LinkedHashSet<>();

    private final Map<InstanceId, ListedInstance> listed = new TreeMap<>();
    /** Probes on behalf of others: our number to the asker and its number. */
    private final Map<Long, Relay> relays = new LinkedHashMap<>();

    private List<MembershipAction> actions = new ArrayList<>();
    private @Nullable Probe probe;
    private long nextNumber = 1;
    private long revision;
    private long generation;
    private boolean leaving;
    private boolean left;
    private boolean superseded;
    private boolean viewDirty = true;
    private boolean started;
    private long lastTickMs;
    private long nextProbeMs;
    private long nextContactMs;
    private long nextExchangeMs;

    private FailureDetector(Member self, FailureDetectorOptions options, long seed) {
        this.self = self;
        this.options = options;
        this.leaving = self.leaving();
        this.random = new SplittableRandom(seed);
        this.order = new ProbeOrder(random);
        this.table = MemberTable.create(options, this::onChange);
    }

    /**
     * A detector that knows only its own instance.
     *
     * @param seed of the random choices; the same seed and inputs give the same actions
     */
    public static FailureDetector create(Member self, FailureDetectorOptions options, long seed) {
        return new FailureDetector(self, options, seed);
    }

    /** Time has passed; to be called several times per probe timeout. */
    public List<MembershipAction> onTick(long nowMs) {
        if (!started) {
            start(nowMs);
        }
        allowForPause(nowMs);
        if (!left) {
            runProbe(nowMs);
            runContact(nowMs);
            runExchange(nowMs);
            table.expire(nowMs);
        }
        showView();
        return takeActions();
    }

    /** A datagram came from this address. */
    public List<MembershipAction> onDatagram(MemberAddress from, Datagram datagram, long nowMs) {
        if (left || isOwnName(datagram.sender())) {
            return takeActions();
        }
        hearSender(from, datagram.sender(), nowMs);
        datagram.updates().forEach(update -> hear(update, nowMs));
        answer(from, datagram.sender().id(), datagram.body(), nowMs);
        return takeActions();
    }

    /** The platform's list was read. */
    public List<MembershipAction> onListRead(Map<InstanceId, ListedInstance> instances, long nowMs) {
        boolean first = listed.isEmpty();
        listed.clear();
        listed.putAll(instances);
        listed.remove(self.id());
        if (first && started) {
            nextContactMs = nowMs;
        }
        return takeActions();
    }

    /**
     * The link to a member broke or fell silent. That proves nothing, as the link alone may be at fault, but the member
     * is probed before its turn, so that a lost one is found soonest by those that deal with it.
     */
    public void onLinkLost(InstanceId member) {
        urgent.add(member);
    }

    /** This instance begins its graceful shutdown: others give it no new duties. */
    public List<MembershipAction> onLeave(long nowMs) {
        if (!leaving) {
            leaving = true;
            revision++;
            viewDirty = true;
            announce();
            showView();
        }
        return takeActions();
    }

    /** This instance is about to end; the others need not find out by probing. */
    public List<MembershipAction> onDepart(long nowMs) {
        if (!left) {
            leaving = true;
            left = true;
            revision++;
            announce();
        }
        return takeActions();
    }

    /** This generation of settings is in force here. */
    public void announceGeneration(long newGeneration) {
        generation = Math.max(generation, newGeneration);
    }

    /** The view as it is held now. */
    public FleetView view() {
        List<Member> members = new ArrayList<>();
        members.add(new Member(self.id(), self.incarnation(), self.dataCentre(), leaving, self.processorMillicores()));
        table.present().forEach(entry -> members.add(entry.toMember()));
        return FleetView.of(members);
    }

    /** The generation that each member of the view was last heard to have in force. */
    public Map<InstanceId, Long> generations() {
        Map<InstanceId, Long> generations = new TreeMap<>();
        generations.put(self.id(), generation);
        table.present().forEach(entry -> generations.put(entry.id(), entry.generation()));
        return generations;
    }

    private void start(long nowMs) {
        started = true;
        lastTickMs = nowMs;
        // A random phase, so that instances which start together do not probe in step.
        nextProbeMs = nowMs + random.nextLong(options.probeIntervalMs());
        nextContactMs = nowMs;
        nextExchangeMs = nowMs + random.nextLong(options.exchangeIntervalMs());
    }

    /** A gap between ticks means that this instance could not hear; what it missed meanwhile accuses nobody. */
    private void allowForPause(long nowMs) {
        long gapMs = nowMs - lastTickMs;
        lastTickMs = nowMs;
        if (gapMs <= options.maxTickGapMs()) {
            return;
        }
        table.postpone(gapMs);
        if (probe != null) {
            probe.postpone(gapMs);
        }
    }

    // Probing

    private void runProbe(long nowMs) {
        Probe current = probe;
        if (current != null && current.repeatDue(nowMs)) {
            askHelpers(current);
        }
        if (current != null && current.failed(nowMs)) {
            onProbeFailed(current, nowMs);
        }
        if (current != null && current.over(nowMs)) {
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
        while (!urgent.isEmpty()) {
            InstanceId first = urgent.iterator().next();
            urgent.remove(first);
            MemberEntry entry = table.get(first);
            if (entry != null && entry.status() == MemberStatus.ALIVE) {
                return entry;
            }
        }
        return order.next(table);
    }

    private void askHelpers(Probe current) {
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
        // Tells the suspect at once, since it can only clear itself of what it has heard.
        send(target.address(), target, new Datagram.Ping(nextNumber++));
    }

    // Contact with instances that are not held alive

    private void runContact(long nowMs) {
        if (nowMs < nextContactMs) {
            return;
        }
        boolean alone = table.size() == 1;
        nextContactMs = nowMs + (alone ? options.probeIntervalMs() : options.contactIntervalMs());
        List<MemberAddress> absent = absentAddresses();
        int contacts = Math.min(absent.size(), alone ? MAX_CONTACTS_WHEN_ALONE : 1);
        for (int i = 0; i < contacts; i++) {
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

    // Comparing views

    private void runExchange(long nowMs) {
        if (nowMs < nextExchangeMs) {
            return;
        }
        nextExchangeMs = nowMs + options.exchangeIntervalMs();
        table.forget(nowMs);
        for (MemberEntry partner : order.sample(table, 1, null)) {
            send(partner.address(), partner, new Datagram.Compare(digest().digests()));
        }
    }

    private ViewDigest digest() {
        return table.digest(self, revision);
    }

    private void sendBuckets(MemberAddress to, int buckets, boolean answer, long nowMs) {
        List<MemberUpdate> chunk = new ArrayList<>();
        int bytes = 0;
        boolean wantsAnswer = answer;
        for (MemberEntry entry : table.all()) {
            if (!entry.present() && !entry.diedLately(nowMs, options)) {
                continue;
            }
            if ((buckets & (1 << ViewDigest.bucket(entry.id()))) == 0) {
                continue;
            }
            MemberUpdate update = entry.toUpdate();
            if (bytes + update.estimatedBytes() > options.maxUpdateBytes()) {
                sendRaw(to, new Datagram.Exchange(buckets, wantsAnswer), chunk);
                wantsAnswer = false;
                chunk = new ArrayList<>();
                bytes = 0;
            }
            chunk.add(update);
            bytes += update.estimatedBytes();
        }
        if (!chunk.isEmpty() || wantsAnswer) {
            sendRaw(to, new Datagram.Exchange(buckets, wantsAnswer), chunk);
        }
    }

    // What datagrams say

    private boolean isOwnName(Datagram.Sender sender) {
        if (!sender.id().equals(self.id())) {
            return false;
        }
        noteOwnName(sender.incarnation());
        return true;
    }

    private void noteOwnName(long incarnation) {
        if (incarnation > self.incarnation() && !superseded) {
            superseded = true;
            actions.add(new MemberChanged(self.id(), incarnation, Change.SUPERSEDED));
        }
    }

    private void hearSender(MemberAddress from, Datagram.Sender sender, long nowMs) {
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
                        sender.processorMillicores()),
                nowMs);
        if (sender.generation() > generation) {
            actions.add(new MembershipAction.GenerationSeen(sender.id(), sender.generation()));
        }
    }

    private void hear(MemberUpdate update, long nowMs) {
        if (!update.id().equals(self.id())) {
            table.apply(update, nowMs);
            return;
        }
        noteOwnName(update.incarnation());
        boolean accused = update.status() != MemberStatus.ALIVE
                && update.incarnation() == self.incarnation()
                && update.revision() >= revision;
        if (accused) {
            revision = update.revision() + 1;
            actions.add(new MemberChanged(self.id(), self.incarnation(), Change.REFUTED));
        }
    }

    private void answer(MemberAddress from, InstanceId sender, Datagram.Body body, long nowMs) {
        MemberEntry entry = table.get(sender);
        if (body instanceof Datagram.Ping ping) {
            send(from, entry, new Datagram.Ack(ping.number()));
        } else if (body instanceof Datagram.Ack ack) {
            onAck(ack);
        } else if (body instanceof Datagram.PingRequest request) {
            relay(from, request);
        } else if (body instanceof Datagram.Compare compare) {
            int buckets = fewOf(digest().differences(compare.digests()));
            if (buckets != 0) {
                sendBuckets(from, buckets, true, nowMs);
            }
        } else if (body instanceof Datagram.Exchange exchange && exchange.wantsReply()) {
            sendBuckets(from, exchange.buckets(), false, nowMs);
        }
    }

    /** A bounded number of the differing parts, any of them; the rest is for later exchanges. */
    private int fewOf(int buckets) {
        int few = buckets;
        while (Integer.bitCount(few) > MAX_EXCHANGE_BUCKETS) {
            few &= ~(1 << random.nextInt(ViewDigest.BUCKETS));
        }
        return few;
    }

    private void onAck(Datagram.Ack ack) {
        Probe current = probe;
        if (current != null) {
            current.onAck(ack.number());
        }
        Relay relay = relays.remove(ack.number());
        if (relay != null) {
            send(relay.asker(), null, new Datagram.Ack(relay.number()));
        }
    }

    private void relay(MemberAddress from, Datagram.PingRequest request) {
        // A target that is gone never answers, so the oldest relays go when there are many.
        if (relays.size() >= MAX_RELAYS) {
            relays.remove(relays.keySet().iterator().next());
        }
        long number = nextNumber++;
        relays.put(number, new Relay(from, request.number()));
        send(request.target(), entryAt(request.target()), new Datagram.Ping(number));
    }

    // Sending

    private void announce() {
        for (MemberEntry entry : order.sample(table, ANNOUNCE_TO, null)) {
            send(entry.address(), entry, new Datagram.Ping(nextNumber++));
        }
    }

    /** Sends with news; a receiver that is held suspect or dead is told so first. */
    private void send(MemberAddress to, @Nullable MemberEntry receiver, Datagram.Body body) {
        List<MemberUpdate> updates = new ArrayList<>();
        if (receiver != null && receiver.status() != MemberStatus.ALIVE) {
            updates.add(receiver.toUpdate());
        }
        updates.addAll(table.takeNews());
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
                self.processorMillicores());
        actions.add(new MembershipAction.Send(to, new Datagram(sender, body, List.copyOf(updates))));
    }

    private void onChange(MemberEntry entry, Change change) {
        actions.add(new MemberChanged(entry.id(), entry.incarnation(), change));
        viewDirty |= change != Change.SUSPECTED && change != Change.CLEARED;
    }

    /** Called on ticks, so that many changes at a time make one view. */
    private void showView() {
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

    /** Who asked for a probe, and by which number. */
    private record Relay(MemberAddress asker, long number) {}
}
