package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/** What this instance holds of one other member. */
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
    private long endedMs;
    private long lastTroubleMs;
    private int flaps;

    private MemberEntry(MemberUpdate update) {
        this.id = update.id();
        this.status = update.status();
        this.dataCentre = update.dataCentre();
        this.address = update.address();
        take(update);
    }

    static MemberEntry of(MemberUpdate update) {
        return new MemberEntry(update);
    }

    /** Takes over everything that the member itself announces. */
    void take(MemberUpdate update) {
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

    /** Negative where the update is older than what is held, 0 where it is about the same announcement. */
    int compareAnnouncement(MemberUpdate update) {
        int byIncarnation = Long.compare(update.incarnation(), incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(update.revision(), revision);
    }

    void noteGeneration(long newer) {
        generation = Math.max(generation, newer);
    }

    void alive(long nowMs, FailureDetectorOptions options) {
        if (status == MemberStatus.DEAD && nowMs - endedMs < options.flapMemoryMs()) {
            flaps = Math.min(MAX_FLAPS, flaps + 1);
        }
        status = MemberStatus.ALIVE;
    }

    /** A member that died and came back lately has longer, so that an unsteady one changes the view less often. */
    void suspect(long nowMs, long suspicionMs, FailureDetectorOptions options) {
        if (nowMs - lastTroubleMs >= options.flapMemoryMs()) {
            flaps = 0;
        }
        lastTroubleMs = nowMs;
        status = MemberStatus.SUSPECT;
        deadlineMs = nowMs + suspicionMs * (1 + flaps);
    }

    void end(MemberStatus ended, long nowMs) {
        status = ended;
        endedMs = nowMs;
    }

    void postpone(long byMs) {
        deadlineMs += byMs;
    }

    /** Whether the member belongs to the view. */
    boolean present() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether the member died so lately that others may not know. */
    boolean diedLately(long nowMs, FailureDetectorOptions options) {
        return status == MemberStatus.DEAD && nowMs - endedMs < options.deathGossipMs();
    }

    boolean overdue(long nowMs) {
        return status == MemberStatus.SUSPECT && nowMs >= deadlineMs;
    }

    boolean forgettable(long nowMs, FailureDetectorOptions options) {
        return !present() && nowMs - endedMs >= options.deadRetentionMs();
    }

    /** The update that says what is held; a dead member is reported as suspect, so that it can still speak up. */
    MemberUpdate toUpdate() {
        if (status == MemberStatus.ALIVE) {
            return new MemberUpdate(
                    id, incarnation, revision, status, leaving, dataCentre, address, generation, processorMillicores);
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
