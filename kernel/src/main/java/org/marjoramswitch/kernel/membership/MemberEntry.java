package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/** This instance's state of one other member. */
final class MemberEntry {
    private static final int MAX_FLAPS = 3;

    private final InstanceId id;
    private long incarnation;
    private long revision;
    private MemberStatus status;
    private boolean leaving;
    private DataCentreId dataCentre;
    private MemberAddress address;
    private int processorMillicores;
    private long generation;
    private long deadlineMs;
    private long goneAtMs;
    private long lastSuspectedMs;
    private int flaps;

    private MemberEntry(MemberUpdate update) {
        this.id = update.id();
        this.status = update.status();
        this.dataCentre = update.dataCentre();
        this.address = update.address();
        applyAnnouncement(update);
    }

    static MemberEntry of(MemberUpdate update) {
        return new MemberEntry(update);
    }

    /** Replaces everything that the member itself announces. */
    void applyAnnouncement(MemberUpdate update) {
        generation =
                update.incarnation() > incarnation ? update.generation() : Math.max(generation, update.generation());
        incarnation = update.incarnation();
        revision = update.revision();
        leaving = update.leaving();
        if (update.hasDetails()) {
            dataCentre = update.dataCentre();
            address = update.address();
            processorMillicores = update.processorMillicores();
        }
    }

    /** Returns a negative number if the update is older than this entry, 0 if both are of the same announcement. */
    int compareAnnouncement(MemberUpdate update) {
        int byIncarnation = Long.compare(update.incarnation(), incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(update.revision(), revision);
    }

    void raiseGeneration(long newer) {
        generation = Math.max(generation, newer);
    }

    void markAlive(long nowMs, FailureDetectorOptions options) {
        if (status == MemberStatus.DEAD && nowMs - goneAtMs < options.flapMemoryMs()) {
            flaps = Math.min(MAX_FLAPS, flaps + 1);
        }
        status = MemberStatus.ALIVE;
    }

    /**
     * Starts a suspicion. Recent deaths lengthen its timeout, so that a flapping member changes the view less often.
     */
    void markSuspect(long nowMs, long suspicionMs, FailureDetectorOptions options) {
        if (nowMs - lastSuspectedMs >= options.flapMemoryMs()) {
            flaps = 0;
        }
        lastSuspectedMs = nowMs;
        status = MemberStatus.SUSPECT;
        deadlineMs = nowMs + suspicionMs * (1 + flaps);
    }

    void markGone(MemberStatus newStatus, long nowMs) {
        status = newStatus;
        goneAtMs = nowMs;
    }

    void postpone(long byMs) {
        deadlineMs += byMs;
    }

    /** Whether the member is part of the view. */
    boolean isPresent() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether the member died so recently that other instances may not know. */
    boolean diedRecently(long nowMs, FailureDetectorOptions options) {
        return status == MemberStatus.DEAD && nowMs - goneAtMs < options.deathGossipMs();
    }

    boolean isOverdue(long nowMs) {
        return status == MemberStatus.SUSPECT && nowMs >= deadlineMs;
    }

    boolean isExpired(long nowMs, FailureDetectorOptions options) {
        return !isPresent() && nowMs - goneAtMs >= options.deadRetentionMs();
    }

    /** Returns this entry as an update; a dead member is reported as suspect, so that it can refute. */
    MemberUpdate toUpdate() {
        if (status == MemberStatus.ALIVE) {
            return new MemberUpdate(
                    id,
                    incarnation,
                    revision,
                    status,
                    leaving,
                    dataCentre,
                    address,
                    generation,
                    processorMillicores,
                    MemberUpdate.UNKNOWN_HEADROOM);
        }
        MemberStatus sent = status == MemberStatus.LEFT ? MemberStatus.LEFT : MemberStatus.SUSPECT;
        return MemberUpdate.statusOnly(id, incarnation, revision, sent, leaving);
    }

    Member toMember() {
        return Member.of(id, incarnation, dataCentre, leaving).withProcessor(processorMillicores);
    }

    InstanceId id() {
        return id;
    }

    long incarnation() {
        return incarnation;
    }

    long revision() {
        return revision;
    }

    MemberStatus status() {
        return status;
    }

    boolean leaving() {
        return leaving;
    }

    MemberAddress address() {
        return address;
    }

    long generation() {
        return generation;
    }
}
