package org.marjoramswitch.kernel.watch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Instances that share the watches of one prefix, and the service that they watch, in virtual time: a watch waits for three
 * seconds at most, calls and messages take milliseconds, a message to an instance that stands still or is gone is lost.
 */
final class WatchedFleet {
    static final String PREFIX = "servers/";
    private static final long WAY_MS = 2;
    private static final long TICK_MS = 500;
    private static final long WAIT_MS = 3_000;
    private static final long REVISIONS_PER_ERA = 1_000_000;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private final Map<InstanceId, Instance> instances = new TreeMap<>();
    private final List<WatchedEntry> changes = new ArrayList<>();
    private final Map<String, WatchedEntry> entries = new TreeMap<>();
    private final Set<InstanceId> still = new HashSet<>();
    private final Set<InstanceId> turnedAway = new HashSet<>();
    private final Set<InstanceId> loseNext = new HashSet<>();
    private boolean holdingBack;
    private long revision = 1;
    private long nowMs;
    private long order;
    private long calls;

    private record Due(long atMs, long order, Runnable task) {}

    static WatchedFleet of(int dataCentres, int instancesEach) {
        WatchedFleet fleet = new WatchedFleet();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < dataCentres * instancesEach; i++) {
            DataCentreId dataCentre = DataCentreId.of("dc-" + i % dataCentres);
            members.add(Member.of(InstanceId.of("i" + i), 1, dataCentre, false));
        }
        for (Member member : members) {
            Instance instance = fleet.new Instance(member);
            fleet.instances.put(member.id(), instance);
            instance.sharing.onView(FleetView.of(members), 0);
            instance.readWhole();
            fleet.at(instance.number() % TICK_MS, instance::tick);
        }
        return fleet;
    }

    /**
     * All start together and know only themselves; each learns of a few more at a time until, after {@code knownMs}, it knows
     * all. Each writes an entry of its own meanwhile.
     */
    static WatchedFleet starting(int dataCentres, int instancesEach, long knownMs) {
        WatchedFleet fleet = of(dataCentres, instancesEach);
        List<Member> all = fleet.instances.values().stream()
                .map(instance -> instance.member)
                .toList();
        for (Instance instance : fleet.instances.values()) {
            instance.sharing.onView(FleetView.of(List.of(instance.member)), 0);
            for (int known = 1; known <= all.size(); known += 5) {
                List<Member> view = new ArrayList<>(all.subList(0, known));
                view.add(instance.member);
                fleet.at(knownMs * known / all.size(), () -> instance.sharing.onView(FleetView.of(view), fleet.nowMs));
            }
            fleet.at(knownMs, () -> instance.sharing.onView(FleetView.of(all), fleet.nowMs));
            fleet.at(
                    instance.number() % knownMs,
                    () -> fleet.put(instance.member.id().name(), "live"));
        }
        return fleet;
    }

    /** An instance leaves the views of all others. */
    void gone(InstanceId gone) {
        still.add(gone);
        List<Member> left = instances.values().stream()
                .map(instance -> instance.member)
                .filter(member -> !still.contains(member.id()))
                .toList();
        instances.values().forEach(instance -> instance.sharing.onView(FleetView.of(left), nowMs));
    }

    void standsStill(InstanceId instance) {
        still.add(instance);
    }

    void turnAway(InstanceId instance) {
        turnedAway.add(instance);
    }

    void serveAgain(InstanceId instance) {
        turnedAway.remove(instance);
    }

    /** From now on no watch hears of a change, until the history is lost. */
    void holdBackNews() {
        holdingBack = true;
    }

    /** The service drops its history and cuts the watches, whose owners read the whole. */
    void loseHistory() {
        holdingBack = false;
        changes.clear();
        instances.values().stream().filter(instance -> instance.reading).forEach(Instance::cut);
    }

    /** The service's entries as they are now. */
    Map<String, WatchedEntry> copy() {
        return Map.copyOf(entries);
    }

    /**
     * The service comes back from an older copy, as its adapter tells it: entries as they were then, revisions of a later
     * era. Most watches are cut at once; one between two calls hears of it with its next.
     */
    void comeBackFrom(Map<String, WatchedEntry> copy, Random random) {
        revision = (revision / REVISIONS_PER_ERA + 1) * REVISIONS_PER_ERA + random.nextInt(100);
        changes.clear();
        entries.clear();
        copy.forEach((key, entry) ->
                entries.put(key, new WatchedEntry(key, entry.value(), entry.createRevision(), revision)));
        instances.values().stream()
                .filter(instance -> instance.reading)
                .forEach(instance -> at(nowMs + random.nextInt(100), instance::cutIfReading));
    }

    /** What the service holds, by key without the prefix. */
    Map<String, String> values() {
        Map<String, String> values = new TreeMap<>();
        entries.forEach((key, entry) -> values.put(key, String.valueOf(entry.value())));
        return values;
    }

    /** The instances that hold anything else than the service does. */
    List<InstanceId> astray() {
        Map<String, String> held = values();
        return ids().stream().filter(id -> !instance(id).told.equals(held)).toList();
    }

    /** The next message to the instance is lost on its way. */
    void loseNextTo(InstanceId instance) {
        loseNext.add(instance);
    }

    void wakes(InstanceId instance) {
        still.remove(instance);
    }

    void put(String key, String value) {
        revision++;
        changed(new WatchedEntry(PREFIX + key, value, revision, revision));
    }

    void remove(String key) {
        revision++;
        changed(WatchedEntry.removed(PREFIX + key, revision));
    }

    void run(long forMs) {
        long untilMs = nowMs + forMs;
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = next.atMs();
            next.task().run();
        }
        nowMs = untilMs;
    }

    long calls() {
        return calls;
    }

    List<InstanceId> ids() {
        return List.copyOf(instances.keySet());
    }

    /** Those that watch the service now. */
    List<InstanceId> reading() {
        return ids().stream().filter(id -> instance(id).reading).toList();
    }

    List<InstanceId> readingIn(String dataCentre) {
        return reading().stream()
                .filter(id -> instance(id).member.dataCentre().name().equals(dataCentre))
                .toList();
    }

    /** The instances in whose entries the key has the value; null for those without the entry. */
    List<InstanceId> holding(String key, @Nullable String value) {
        return ids().stream()
                .filter(id -> {
                    String held = instance(id).told.get(PREFIX + key);
                    return value == null ? held == null : value.equals(held);
                })
                .toList();
    }

    private Instance instance(InstanceId id) {
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new IllegalArgumentException(id.toString());
        }
        return instance;
    }

    private void changed(WatchedEntry change) {
        changes.add(change);
        if (change.value() == null) {
            entries.remove(change.key());
        } else {
            entries.put(change.key(), change);
        }
        instances.values().forEach(instance -> at(nowMs + WAY_MS, instance::answerIfChanged));
    }

    private void at(long atMs, Runnable task) {
        due.add(new Due(atMs, order++, task));
    }

    /** One instance: its sharing, what its duty was told, and its waiting watch. */
    private final class Instance {
        private final Member member;
        private final WatchSharing sharing;
        private final Map<String, String> told = new TreeMap<>();
        private boolean reading;
        private long afterRevision;
        private long askedAtMs;

        private Instance(Member member) {
            this.member = member;
            this.sharing = WatchSharing.create(member, nowMs);
        }

        private long number() {
            return Long.parseLong(member.id().name().substring(1)) * 37;
        }

        private void readWhole() {
            if (turnedAway.contains(member.id())) {
                at(nowMs + 250, this::readWhole);
                return;
            }
            calls++;
            told.clear();
            entries.values().forEach(entry -> told.put(entry.key(), entry.value()));
            sharing.follow(PREFIX, revision, List.copyOf(entries.values()), nowMs, this::perform);
        }

        private void tick() {
            if (!still.contains(member.id())) {
                sharing.onTick(nowMs, this::perform);
            }
            at(nowMs + TICK_MS, this::tick);
        }

        private void perform(WatchAction action) {
            if (action instanceof WatchAction.Send send) {
                at(nowMs + WAY_MS, () -> instance(send.to()).receive(member.id(), send.message()));
            } else if (action instanceof WatchAction.Notify notification) {
                take(notification.change());
            } else if (action instanceof WatchAction.StartWatch start) {
                reading = true;
                ask(start.afterRevision());
            } else {
                reading = false;
            }
        }

        private void take(WatchedEntry change) {
            if (change.value() == null) {
                told.remove(change.key());
            } else {
                told.put(change.key(), change.value());
            }
        }

        private void receive(InstanceId from, PeerMessage message) {
            if (!still.contains(member.id()) && !loseNext.remove(member.id())) {
                sharing.onMessage(from, message, nowMs, this::perform);
            }
        }

        private void ask(long after) {
            calls++;
            afterRevision = after;
            askedAtMs = nowMs;
            at(nowMs + WAY_MS, this::answerIfChanged);
            at(nowMs + WAIT_MS, () -> answerWhenOver(after));
        }

        private void cutIfReading() {
            if (reading) {
                cut();
            }
        }

        /** The watch is broken; where the service answers, the whole is read at once. */
        private void cut() {
            reading = false;
            sharing.onWatchClosed(PREFIX);
            at(nowMs + WAY_MS, this::readWhole);
        }

        private void answerIfChanged() {
            if (reading && !holdingBack && changes.stream().anyMatch(change -> change.revision() > afterRevision)) {
                answer();
            }
        }

        private void answerWhenOver(long after) {
            if (reading && !holdingBack && after == afterRevision && nowMs - askedAtMs >= WAIT_MS) {
                answer();
            }
        }

        private void answer() {
            if (still.contains(member.id())) {
                return;
            }
            boolean otherEra = afterRevision / REVISIONS_PER_ERA != revision / REVISIONS_PER_ERA;
            if (turnedAway.contains(member.id()) || otherEra) {
                cut();
                return;
            }
            List<WatchedEntry> news = changes.stream()
                    .filter(change -> change.revision() > afterRevision)
                    .toList();
            sharing.onWatchUpdate(PREFIX, revision, news, nowMs, this::perform);
            ask(revision);
        }
    }
}
