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
 * Holds what this instance knows about the other members and applies updates in their order: a newer incarnation
 * overrides an older one, then a newer revision, then a worse status.
 *
 * <p>No update from a peer makes a member dead here. A suspicion starts this instance's own suspicion timeout, so that
 * the two halves of a healed partition don't remove each other's members: a member that is alive receives the suspicion
 * and refutes it. A suspicion of an unknown member is dropped.
 */
final class MemberTable {
    private final FailureDetectorOptions options;
    private final BiConsumer<MemberEntry, Change> observer;
    private final UpdateQueue updates = new UpdateQueue();
    private final Map<InstanceId, MemberEntry> entries = new TreeMap<>();
    /** The entries that are not alive: usually few, so that a tick need not visit all entries. */
    private final Map<InstanceId, MemberEntry> notAlive = new TreeMap<>();

    private int present;

    private MemberTable(FailureDetectorOptions options, BiConsumer<MemberEntry, Change> observer) {
        this.options = options;
        this.observer = observer;
    }

    static MemberTable create(FailureDetectorOptions options, BiConsumer<MemberEntry, Change> observer) {
        return new MemberTable(options, observer);
    }

    /** Returns the number of members in the view, this instance included. */
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
            if (entry.isPresent()) {
                list.add(entry);
            }
        }
        return list;
    }

    /** Returns the members that are alive and not suspect. */
    List<MemberEntry> alive() {
        List<MemberEntry> list = new ArrayList<>(present);
        for (MemberEntry entry : entries.values()) {
            if (entry.status() == MemberStatus.ALIVE) {
                list.add(entry);
            }
        }
        return list;
    }

    /** Takes the queued updates to piggyback on one datagram. */
    List<MemberUpdate> takeUpdates() {
        return updates.take(options.maxUpdateBytes(), options.retransmissions(size()));
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
        entry.raiseGeneration(order == 0 ? update.generation() : 0);
        switch (update.status()) {
            case ALIVE -> applyAlive(entry, update, order > 0, nowMs);
            case SUSPECT -> applySuspect(entry, update, order > 0, nowMs);
            case LEFT -> applyLeft(entry, update, nowMs);
            case DEAD -> {}
        }
    }

    /** Marks a member suspect after this instance's own probe of it failed. */
    void suspect(MemberEntry entry, long nowMs) {
        if (entry.status() != MemberStatus.ALIVE) {
            return;
        }
        startSuspicion(entry, nowMs);
    }

    /** Declares suspects dead whose suspicion timeout has elapsed. */
    void expireSuspicions(long nowMs) {
        for (MemberEntry entry : notAlive.values()) {
            if (entry.isOverdue(nowMs)) {
                end(entry, MemberStatus.DEAD, Change.DIED, nowMs);
            }
        }
    }

    void removeExpired(long nowMs) {
        notAlive.values().removeIf(entry -> entry.isExpired(nowMs, options));
        entries.values().removeIf(entry -> entry.isExpired(nowMs, options));
    }

    /** Extends all deadlines by a time in which this instance was paused and could not receive refutations. */
    void postpone(long byMs) {
        notAlive.values().forEach(entry -> entry.postpone(byMs));
    }

    ViewDigest digest(Member self, long selfRevision) {
        ViewDigest digest = new ViewDigest();
        digest.add(self.id(), self.incarnation(), selfRevision);
        for (MemberEntry entry : entries.values()) {
            if (entry.isPresent()) {
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
        updates.add(update);
        observer.accept(entry, Change.JOINED);
    }

    private void applyAlive(MemberEntry entry, MemberUpdate update, boolean newer, long nowMs) {
        if (!newer) {
            return;
        }
        boolean restarted = update.incarnation() > entry.incarnation();
        boolean startedLeaving = update.leaving() && !entry.leaving();
        MemberStatus before = entry.status();
        entry.applyAnnouncement(update);
        entry.markAlive(nowMs, options);
        notAlive.remove(entry.id());
        updates.add(update);
        if (before == MemberStatus.DEAD || before == MemberStatus.LEFT) {
            present++;
        }
        Change change = restarted ? Change.RESTARTED : changeFrom(before, startedLeaving);
        if (change != null) {
            observer.accept(entry, change);
        }
    }

    private static @Nullable Change changeFrom(MemberStatus before, boolean startedLeaving) {
        return switch (before) {
            case ALIVE -> startedLeaving ? Change.LEAVING : null;
            case SUSPECT -> startedLeaving ? Change.LEAVING : Change.CLEARED;
            case DEAD, LEFT -> Change.RETURNED;
        };
    }

    private void applySuspect(MemberEntry entry, MemberUpdate update, boolean newer, long nowMs) {
        boolean restarted = update.incarnation() > entry.incarnation();
        if (newer) {
            entry.applyAnnouncement(update);
        }
        if (restarted && entry.isPresent()) {
            observer.accept(entry, Change.RESTARTED);
        }
        if (!entry.isPresent() || (!newer && entry.status() == MemberStatus.SUSPECT)) {
            return;
        }
        startSuspicion(entry, nowMs);
    }

    private void startSuspicion(MemberEntry entry, long nowMs) {
        entry.markSuspect(nowMs, options.suspicionMs(size()), options);
        notAlive.put(entry.id(), entry);
        updates.add(entry.toUpdate());
        observer.accept(entry, Change.SUSPECTED);
    }

    private void applyLeft(MemberEntry entry, MemberUpdate update, long nowMs) {
        entry.applyAnnouncement(update);
        if (entry.isPresent()) {
            updates.add(update);
            end(entry, MemberStatus.LEFT, Change.LEFT, nowMs);
        } else {
            entry.markEnded(MemberStatus.LEFT, nowMs);
        }
    }

    private void end(MemberEntry entry, MemberStatus status, Change change, long nowMs) {
        entry.markEnded(status, nowMs);
        notAlive.put(entry.id(), entry);
        present--;
        observer.accept(entry, change);
    }
}
