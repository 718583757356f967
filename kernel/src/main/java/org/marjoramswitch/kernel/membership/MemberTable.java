package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.membership.MembershipAction.Change;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * What this instance holds of the others, and the order of the statements about them: a newer incarnation overrides an
 * older one, within it a newer revision, within that a worse status.
 *
 * <p>Nobody's word makes a member dead here. A statement that it is suspect starts this instance's own wait, so that
 * two halves of a fleet that meet again after a partition don't bury each other's members: whoever is alive hears of
 * the suspicion and answers it. A suspicion of a member that is not known here is dropped.
 */
final class MemberTable {
    private final FailureDetectorOptions options;
    private final BiConsumer<MemberEntry, Change> observer;
    private final UpdateQueue news = new UpdateQueue();
    private final Map<InstanceId, MemberEntry> entries = new TreeMap<>();
    /** The entries that are not alive: few, so that a tick need not look at the others. */
    private final Map<InstanceId, MemberEntry> notAlive = new TreeMap<>();

    private int present;

    private MemberTable(FailureDetectorOptions options, BiConsumer<MemberEntry, Change> observer) {
        this.options = options;
        this.observer = observer;
    }

    static MemberTable create(FailureDetectorOptions options, BiConsumer<MemberEntry, Change> observer) {
        return new MemberTable(options, observer);
    }

    /** The members of the view, this instance included. */
    int size() {
        return present + 1;
    }

    @Nullable
    MemberEntry get(InstanceId id) {
        return entries.get(id);
    }

    Collection<MemberEntry> all() {
        return entries.values();
    }

    Collection<MemberEntry> notAlive() {
        return notAlive.values();
    }

    List<MemberEntry> present() {
        List<MemberEntry> list = new ArrayList<>(present);
        for (MemberEntry entry : entries.values()) {
            if (entry.present()) {
                list.add(entry);
            }
        }
        return list;
    }

    /** The members that are not suspect. */
    List<MemberEntry> alive() {
        List<MemberEntry> list = new ArrayList<>(present);
        for (MemberEntry entry : entries.values()) {
            if (entry.status() == MemberStatus.ALIVE) {
                list.add(entry);
            }
        }
        return list;
    }

    /** News to ride on a datagram. */
    List<MemberUpdate> takeNews() {
        return news.take(options.maxUpdateBytes(), options.retransmissions(size()));
    }

    void apply(MemberUpdate update, long nowMs) {
        MemberEntry entry = entries.get(update.id());
        if (entry == null) {
            add(update);
            return;
        }
        int order = entry.compareAnnouncement(update);
        if (order < 0) {
            return;
        }
        entry.noteGeneration(order == 0 ? update.generation() : 0);
        switch (update.status()) {
            case ALIVE -> applyAlive(entry, update, order > 0, nowMs);
            case SUSPECT -> applySuspect(entry, update, order > 0, nowMs);
            case LEFT -> applyLeft(entry, update, nowMs);
            case DEAD -> {}
        }
    }

    /** This instance's own probe of a member failed. */
    void suspect(MemberEntry entry, long nowMs) {
        if (entry.status() != MemberStatus.ALIVE) {
            return;
        }
        accuse(entry, nowMs);
    }

    /** Ends the wait for suspects that did not show themselves. */
    void expire(long nowMs) {
        for (MemberEntry entry : notAlive.values()) {
            if (entry.overdue(nowMs)) {
                end(entry, MemberStatus.DEAD, Change.DIED, nowMs);
            }
        }
    }

    void forget(long nowMs) {
        notAlive.values().removeIf(entry -> entry.forgettable(nowMs, options));
        entries.values().removeIf(entry -> entry.forgettable(nowMs, options));
    }

    /** This instance was paused: the time in which it could not hear counts against nobody. */
    void postpone(long byMs) {
        notAlive.values().forEach(entry -> entry.postpone(byMs));
    }

    ViewDigest digest(Member self, long selfRevision) {
        ViewDigest digest = new ViewDigest();
        digest.add(self.id(), self.incarnation(), selfRevision);
        for (MemberEntry entry : entries.values()) {
            if (entry.present()) {
                digest.add(entry.id(), entry.incarnation(), entry.revision());
            }
        }
        return digest;
    }

    private void add(MemberUpdate update) {
        if (!update.hasDetails()) {
            return;
        }
        MemberEntry entry = MemberEntry.of(update);
        entries.put(update.id(), entry);
        present++;
        news.add(update);
        observer.accept(entry, Change.JOINED);
    }

    private void applyAlive(MemberEntry entry, MemberUpdate update, boolean newer, long nowMs) {
        if (!newer) {
            return;
        }
        boolean restarted = update.incarnation() > entry.incarnation();
        boolean beganLeaving = update.leaving() && !entry.leaving();
        MemberStatus before = entry.status();
        entry.take(update);
        entry.alive(nowMs, options);
        notAlive.remove(entry.id());
        news.add(update);
        if (before == MemberStatus.DEAD || before == MemberStatus.LEFT) {
            present++;
        }
        Change change = restarted ? Change.RESTARTED : changeFrom(before, beganLeaving);
        if (change != null) {
            observer.accept(entry, change);
        }
    }

    private static @Nullable Change changeFrom(MemberStatus before, boolean beganLeaving) {
        return switch (before) {
            case ALIVE -> beganLeaving ? Change.LEAVING : null;
            case SUSPECT -> beganLeaving ? Change.LEAVING : Change.CLEARED;
            case DEAD, LEFT -> Change.RETURNED;
        };
    }

    private void applySuspect(MemberEntry entry, MemberUpdate update, boolean newer, long nowMs) {
        boolean restarted = update.incarnation() > entry.incarnation();
        if (newer) {
            entry.take(update);
        }
        if (restarted && entry.present()) {
            observer.accept(entry, Change.RESTARTED);
        }
        if (!entry.present() || (!newer && entry.status() == MemberStatus.SUSPECT)) {
            return;
        }
        accuse(entry, nowMs);
    }

    private void accuse(MemberEntry entry, long nowMs) {
        entry.suspect(nowMs, options.suspicionMs(size()), options);
        notAlive.put(entry.id(), entry);
        news.add(entry.toUpdate());
        observer.accept(entry, Change.SUSPECTED);
    }

    private void applyLeft(MemberEntry entry, MemberUpdate update, long nowMs) {
        entry.take(update);
        if (entry.present()) {
            news.add(update);
            end(entry, MemberStatus.LEFT, Change.LEFT, nowMs);
        } else {
            entry.end(MemberStatus.LEFT, nowMs);
        }
    }

    private void end(MemberEntry entry, MemberStatus status, Change change, long nowMs) {
        entry.end(status, nowMs);
        notAlive.put(entry.id(), entry);
        present--;
        observer.accept(entry, change);
    }
}
