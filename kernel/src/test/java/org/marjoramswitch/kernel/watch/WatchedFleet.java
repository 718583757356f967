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
 * Simulates in virtual time instances that share the watches of one prefix, and the key-value store that they watch. A
 * watch waits for at most three seconds, calls and messages take milliseconds, and a message to an instance that is
 * paused or removed is lost.
 */
final class WatchedFleet {
    static final String PREFIX = "servers/";
    private static final long LATENCY_MS = 2;
    private static final long TICK_MS = 500;
    private static final long WATCH_TIMEOUT_MS = 3_000;
    /** With three watches, one call ends every second, and a response is awaited for 700 ms. */
    private static final long SILENCE_DETECTED_MS = 1_700;

    private static final long REVISIONS_PER_ERA = 1_000_000;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private final Map<InstanceId, Instance> instances = new TreeMap<>();
    private final List<WatchedEntry> changes = new ArrayList<>();
    private final Map<String, WatchedEntry> entries = new TreeMap<>();
    private final Set<InstanceId> paused = new HashSet<>();
    private final Set<InstanceId> rejected = new HashSet<>();
    private final Set<InstanceId> silent = new HashSet<>();
    private final Set<InstanceId> dropNext = new HashSet<>();
    private boolean updatesHeldBack;
    private long revision = 1;
    private long nowMs;
    private long order;
    private long calls;
    private long messages;

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
            instance.readAll();
            fleet.at(instance.number() % TICK_MS, instance::tick);
        }
        return fleet;
    }

    /**
     * Creates instances that start together, each with only itself in its view. Each view grows by a few instances at a
     * time until, after {@code knownMs}, it is complete. Meanwhile each writes an entry of its own.
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

    /** Stops an instance and removes it from the views of all others. */
    void removeFromViews(InstanceId removed) {
        paused.add(removed);
        List<Member> left = instances.values().stream()
                .map(instance -> instance.member)
                .filter(member -> !paused.contains(member.id()))
                .toList();
        instances.values().forEach(instance -> instance.sharing.onView(FleetView.of(left), nowMs));
    }

    void pause(InstanceId instance) {
        paused.add(instance);
    }

    void reject(InstanceId instance) {
        rejected.add(instance);
    }

    void accept(InstanceId instance) {
        rejected.remove(instance);
    }

    /** From now on the store does not respond to the instance, whose watch is closed once that is detected. */
    void silence(InstanceId instance) {
        silent.add(instance);
        at(nowMs + SILENCE_DETECTED_MS, () -> {
            if (silent.contains(instance)) {
                instance(instance).closeIfWatching();
            }
        });
    }

    void endSilence(InstanceId instance) {
        silent.remove(instance);
    }

    /** Messages between instances so far. */
    long messages() {
        return messages;
    }

    /** Withholds changes from all watches until the history is compacted. */
    void holdBackUpdates() {
        updatesHeldBack = true;
    }

    /** The store drops its history and closes the watches, whose owners read all entries again. */
    void compactHistory() {
        updatesHeldBack = false;
        changes.clear();
        instances.values().stream().filter(instance -> instance.watching).forEach(Instance::closeWatch);
    }

    /** Returns the store's current entries. */
    Map<String, WatchedEntry> snapshot() {
        return Map.copyOf(entries);
    }

    /**
     * Restores the store from an older snapshot, as the store's adapter presents it: entries as they were then, with
     * revisions of a later era. Most watches are closed immediately; one between two calls is closed by its next call.
     */
    void restoreFrom(Map<String, WatchedEntry> snapshot, Random random) {
        revision = (revision / REVISIONS_PER_ERA + 1) * REVISIONS_PER_ERA + random.nextInt(100);
        changes.clear();
        entries.clear();
        snapshot.forEach((key, entry) ->
                entries.put(key, new WatchedEntry(key, entry.value(), entry.createRevision(), revision)));
        instances.values().stream()
                .filter(instance -> instance.watching)
                .forEach(instance -> at(nowMs + random.nextInt(100), instance::closeIfWatching));
    }

    /** Returns the store's values by key. */
    Map<String, String> values() {
        Map<String, String> values = new TreeMap<>();
        entries.forEach((key, entry) -> values.put(key, String.valueOf(entry.value())));
        return values;
    }

    /** Returns the instances whose entries differ from the store's. */
    List<InstanceId> outOfSync() {
        Map<String, String> held = values();
        return ids().stream().filter(id -> !instance(id).known.equals(held)).toList();
    }

    /** Loses the next message to the instance. */
    void dropNextMessageTo(InstanceId instance) {
        dropNext.add(instance);
    }

    void resume(InstanceId instance) {
        paused.remove(instance);
    }

    void put(String key, String value) {
        revision++;
        changed(new WatchedEntry(PREFIX + key, value, revision, revision));
    }

    void remove(String key) {
        revision++;
        changed(WatchedEntry.removed(PREFIX + key, revision));
    }

    void run(long durationMs) {
        long untilMs = nowMs + durationMs;
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

    /** Returns the instances that watch the store now. */
    List<InstanceId> watching() {
        return ids().stream().filter(id -> instance(id).watching).toList();
    }

    List<InstanceId> watchingIn(String dataCentre) {
        return watching().stream()
                .filter(id -> instance(id).member.dataCentre().name().equals(dataCentre))
                .toList();
    }

    /** Returns the instances whose entries have this value for the key; null selects those without the entry. */
    List<InstanceId> instancesWith(String key, @Nullable String value) {
        return ids().stream()
                .filter(id -> {
                    String held = instance(id).known.get(PREFIX + key);
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
        instances.values().forEach(instance -> at(nowMs + LATENCY_MS, instance::respondIfChanged));
    }

    private void at(long atMs, Runnable task) {
        due.add(new Due(atMs, order++, task));
    }

    /** One instance: its watch sharing, the entries that its listener knows, and its pending watch call. */
    private final class Instance {
        private final Member member;
        private final WatchSharing sharing;
        private final Map<String, String> known = new TreeMap<>();
        private boolean watching;
        private long afterRevision;
        private long calledAtMs;

        private Instance(Member member) {
            this.member = member;
            this.sharing = WatchSharing.create(member, nowMs);
        }

        private long number() {
            return Long.parseLong(member.id().name().substring(1)) * 37;
        }

        private void readAll() {
            if (rejected.contains(member.id()) || silent.contains(member.id())) {
                at(nowMs + 250, this::readAll);
                return;
            }
            calls++;
            known.clear();
            entries.values().forEach(entry -> known.put(entry.key(), entry.value()));
            sharing.follow(PREFIX, revision, List.copyOf(entries.values()), nowMs, this::perform);
        }

        private void tick() {
            if (!paused.contains(member.id())) {
                sharing.onTick(nowMs, this::perform);
            }
            at(nowMs + TICK_MS, this::tick);
        }

        private void perform(WatchAction action) {
            if (action instanceof WatchAction.Send send) {
                messages++;
                at(nowMs + LATENCY_MS, () -> instance(send.to()).receive(member.id(), send.message()));
            } else if (action instanceof WatchAction.Notify notification) {
                apply(notification.change());
            } else if (action instanceof WatchAction.StartWatch start) {
                watching = true;
                callWatch(start.afterRevision());
            } else {
                watching = false;
            }
        }

        private void apply(WatchedEntry change) {
            if (change.value() == null) {
                known.remove(change.key());
            } else {
                known.put(change.key(), change.value());
            }
        }

        private void receive(InstanceId from, PeerMessage message) {
            if (!paused.contains(member.id()) && !dropNext.remove(member.id())) {
                sharing.onMessage(from, message, nowMs, this::perform);
            }
        }

        private void callWatch(long after) {
            calls++;
            afterRevision = after;
            calledAtMs = nowMs;
            at(nowMs + LATENCY_MS, this::respondIfChanged);
            at(nowMs + WATCH_TIMEOUT_MS, () -> respondOnTimeout(after));
        }

        private void closeIfWatching() {
            if (watching) {
                closeWatch();
            }
        }

        /** Closes the watch; all entries are read again as soon as the store accepts the call. */
        private void closeWatch() {
            watching = false;
            sharing.onWatchClosed(PREFIX);
            at(nowMs + LATENCY_MS, this::readAll);
        }

        private void respondIfChanged() {
            if (watching
                    && !updatesHeldBack
                    && changes.stream().anyMatch(change -> change.revision() > afterRevision)) {
                respond();
            }
        }

        private void respondOnTimeout(long after) {
            if (watching && !updatesHeldBack && after == afterRevision && nowMs - calledAtMs >= WATCH_TIMEOUT_MS) {
                respond();
            }
        }

        private void respond() {
            if (paused.contains(member.id()) || silent.contains(member.id())) {
                return;
            }
            boolean otherEra = afterRevision / REVISIONS_PER_ERA != revision / REVISIONS_PER_ERA;
            if (rejected.contains(member.id()) || otherEra) {
                closeWatch();
                return;
            }
            List<WatchedEntry> newChanges = changes.stream()
                    .filter(change -> change.revision() > afterRevision)
                    .toList();
            sharing.onWatchUpdate(PREFIX, revision, newChanges, nowMs, this::perform);
            callWatch(revision);
        }
    }
}
