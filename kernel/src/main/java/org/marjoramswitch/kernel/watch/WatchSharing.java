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
 * Shares the watches of the platform's key-value service among the instances of a data centre.
 *
 * <p>Two instances of a data centre, its readers, watch the service. The first of them passes each change on to the others
 * at once. Both tell them every {@value #BEAT_MS} ms how far they have come, so that one that missed a change, or whose first
 * reader stands still, asks for a copy. Readers tell those of the other data centres too: a reader that the service turns
 * away, or whose connection to it has gone silent, misses nothing that any reader has seen.
 *
 * <p>An instance that hears of no reader that is in touch with the service for {@value #ALONE_AFTER_MS} ms watches by itself
 * until one is heard again. So an outage for some instances, a cut or a crash of both readers costs that time and no more.
 *
 * <p>Nothing is agreed on: who reads follows from each instance's own view, two views that differ for a moment have one
 * reader more or fewer for it, and what is passed on carries the service's own revisions, so that neither old nor doubled
 * news does harm.
 *
 * <p>Why: the service counts each waiting call. With three prefixes watched by each of 95 instances that were 10 thousand
 * calls in 48 s, a seventh of all that the fleet's users were served.
 *
 * <p>Cost: a reader sends each beat to its data centre and to the other readers; a change is sent once to each instance of
 * the data centre. Not thread-safe.
 */
public final class WatchSharing {
    /** How often a reader tells how far it has come; with a missed change it is the delay, of a bound of 2 s or more. */
    private static final long BEAT_MS = 500;
    /** Three beats: with fewer, a pause of a reader by a collection or a lost packet starts watches that end at once. */
    private static final long ALONE_AFTER_MS = 1_500;
    /**
     * A start of all instances together: on the smallest machines it takes seconds until they know one another and the
     * readers have read. Watches begun meanwhile would each bring all others' entries in the list of instances one by one.
     */
    private static final long START_MS = 4_000;
    /** A reader must have been heard for so long before the own watch ends, or the two would alternate. */
    private static final long HEARD_FOR_MS = 1_000;
    /** A reader whose watch has brought nothing, not even its usual empty answer every three seconds, is out of touch. */
    private static final long IN_TOUCH_MS = 4_500;
    /** A copy is asked for once in this time. */
    private static final long QUERY_MS = 300;

    /** A view that is still growing names many instances for a moment; one that is not named for so long does not read. */
    private static final long SETTLED_MS = 500;

    private static final int READERS = 2;
    /** In a data centre of this size the beats would cost what the watches do; all of its instances read. */
    private static final int FEW_INSTANCES = 4;

    private final Member self;
    private final Map<String, Followed> followed = new TreeMap<>();
    /** The readers of this data centre, the first one first. */
    private List<InstanceId> readers = List.of();
    /** The other instances of this data centre. */
    private List<InstanceId> neighbours = List.of();
    /** The readers of the other data centres. */
    private List<InstanceId> farReaders = List.of();

    private final long startedAtMs;
    private boolean fewInstances;
    private long readersSinceMs;
    private long heardAtMs;
    private long heardSinceMs;
    private long nextBeatMs;

    private WatchSharing(Member self, long nowMs) {
        this.self = self;
        this.startedAtMs = nowMs;
        // A start waits for readers as if one had just been heard.
        this.heardAtMs = nowMs;
        this.heardSinceMs = nowMs;
    }

    public static WatchSharing create(Member self, long nowMs) {
        return new WatchSharing(self, nowMs);
    }

    /** The instances that are alive, this one among them. */
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
        List<InstanceId> near = byDataCentre.getOrDefault(home, List.of());
        List<InstanceId> former = readers;
        readers = readers(home, near);
        if (!readers.equals(former)) {
            readersSinceMs = nowMs;
            heardAtMs = nowMs - startedAtMs < START_MS ? nowMs : heardAtMs;
        }
        fewInstances = near.size() <= FEW_INSTANCES;
        neighbours = near.stream().filter(member -> !member.equals(self.id())).toList();
        byDataCentre.remove(home);
        List<InstanceId> far = new ArrayList<>();
        byDataCentre.forEach((dataCentre, members) -> far.addAll(readers(dataCentre, members)));
        farReaders = List.copyOf(far);
    }

    /** The prefix was read whole by this instance, which wants to know of its changes from then on. */
    public void follow(
            String prefix, long revision, List<WatchedEntry> entries, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.computeIfAbsent(prefix, Followed::new);
        known.replace(revision, entries, sink);
        known.active = true;
        known.seenAtMs = nowMs;
        decide(nowMs, sink);
    }

    /** The own watch of the prefix broke; it is followed again once it was read anew. */
    public void onWatchClosed(String prefix) {
        Followed known = followed.get(prefix);
        if (known != null) {
            known.active = false;
            known.reading = false;
        }
    }

    /** The own watch brought all changes up to a revision, perhaps none. */
    public void onWatchUpdate(
            String prefix, long toRevision, List<WatchedEntry> changes, long nowMs, Consumer<WatchAction> sink) {
        Followed known = followed.get(prefix);
        if (known == null || !known.active) {
            return;
        }
        known.seenAtMs = nowMs;
        long fromRevision = known.prefix.completeRevision();
        List<WatchedEntry> news = known.advance(fromRevision, toRevision, changes, sink);
        boolean first = !readers.isEmpty() && readers.get(0).equals(self.id());
        if (first && news != null && !news.isEmpty()) {
            PeerMessage message = new PeerMessage.WatchNews(prefix, fromRevision, toRevision, news);
            neighbours.forEach(neighbour -> sink.accept(new WatchAction.Send(neighbour, message)));
        }
    }

    /** Takes a peer's message about watches; false for any other. */
    public boolean onMessage(InstanceId from, PeerMessage message, long nowMs, Consumer<WatchAction> sink) {
        if (message instanceof PeerMessage.WatchBeat beat) {
            heard(from, nowMs);
            beat.positions().forEach(position -> compare(from, position, nowMs, sink));
        } else if (message instanceof PeerMessage.WatchNews news) {
            take(from, news, nowMs, sink);
        } else if (message instanceof PeerMessage.WatchQuery query) {
            answer(from, query.prefix(), sink);
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

    /** Some time has passed. */
    public void onTick(long nowMs, Consumer<WatchAction> sink) {
        decide(nowMs, sink);
        if (nowMs < nextBeatMs) {
            return;
        }
        nextBeatMs = nowMs + BEAT_MS;
        if (!isReader(nowMs) || !isInTouch(nowMs)) {
            return;
        }
        PeerMessage beat = new PeerMessage.WatchBeat(
                followed.values().stream().map(known -> known.prefix.position()).toList());
        neighbours.forEach(neighbour -> sink.accept(new WatchAction.Send(neighbour, beat)));
        farReaders.forEach(reader -> sink.accept(new WatchAction.Send(reader, beat)));
    }

    private static List<InstanceId> readers(String dataCentre, List<InstanceId> members) {
        return Rendezvous.rank(dataCentre, members).stream().limit(READERS).toList();
    }

    private boolean isReader(long nowMs) {
        return !fewInstances && readers.contains(self.id()) && nowMs - readersSinceMs >= SETTLED_MS;
    }

    private boolean isInTouch(long nowMs) {
        return !followed.isEmpty()
                && followed.values().stream()
                        .allMatch(known -> known.active && known.reading && nowMs - known.seenAtMs <= IN_TOUCH_MS);
    }

    private void heard(InstanceId from, long nowMs) {
        if (!readers.contains(from)) {
            return;
        }
        if (nowMs - heardAtMs > ALONE_AFTER_MS) {
            heardSinceMs = nowMs;
        }
        heardAtMs = nowMs;
    }

    private void decide(long nowMs, Consumer<WatchAction> sink) {
        boolean knowsNobody = neighbours.isEmpty() && nowMs - startedAtMs < START_MS;
        boolean alone = nowMs - heardAtMs > ALONE_AFTER_MS && !knowsNobody;
        boolean accompanied = !alone && nowMs - heardSinceMs >= HEARD_FOR_MS;
        for (Followed known : followed.values()) {
            if (known.active && !known.reading && (isReader(nowMs) || alone)) {
                known.reading = true;
                known.seenAtMs = nowMs;
                sink.accept(new WatchAction.StartWatch(known.name, known.prefix.completeRevision()));
            } else if (known.reading && !isReader(nowMs) && accompanied) {
                known.reading = false;
                sink.accept(new WatchAction.StopWatch(known.name));
            }
        }
    }

    /** A reader says how far it has come. */
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

    private void take(InstanceId from, PeerMessage.WatchNews news, long nowMs, Consumer<WatchAction> sink) {
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
        known.nextQueryMs = nowMs + QUERY_MS;
        sink.accept(new WatchAction.Send(from, new PeerMessage.WatchQuery(known.name)));
    }

    private void answer(InstanceId from, String prefix, Consumer<WatchAction> sink) {
        Followed known = followed.get(prefix);
        if (known != null) {
            sink.accept(new WatchAction.Send(
                    from, new PeerMessage.WatchCopy(prefix, known.prefix.completeRevision(), known.prefix.entries())));
        }
    }

    /** One prefix that a duty of this instance follows. */
    private static final class Followed {
        private final String name;
        private final WatchedPrefix prefix;
        /** Whether a duty waits for changes; not between the break of a watch and the next reading of the whole. */
        private boolean active;

        private boolean reading;
        private long seenAtMs;
        private long nextQueryMs;

        private Followed(String name) {
            this.name = name;
            this.prefix = new WatchedPrefix(name);
        }

        @Nullable
        List<WatchedEntry> advance(
                long fromRevision, long toRevision, List<WatchedEntry> changes, Consumer<WatchAction> sink) {
            List<WatchedEntry> news = prefix.advance(fromRevision, toRevision, changes);
            tell(news == null ? List.of() : news, sink);
            return news;
        }

        void replace(long revision, List<WatchedEntry> entries, Consumer<WatchAction> sink) {
            tell(prefix.replace(revision, entries), sink);
        }

        private void tell(List<WatchedEntry> news, Consumer<WatchAction> sink) {
            if (active) {
                news.forEach(change -> sink.accept(new WatchAction.Notify(name, change)));
            }
        }
    }
}
