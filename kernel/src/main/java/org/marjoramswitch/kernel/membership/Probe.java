package org.marjoramswitch.kernel.membership;

import org.marjoramswitch.kernel.model.InstanceId;

/** The probe in progress: its target and number, and the deadlines for indirect probes and for failure. */
final class Probe {
    private final InstanceId target;
    private final long number;
    private long directDeadlineMs;
    private long deadlineMs;
    private boolean indirectSent;
    private boolean acknowledged;

    private Probe(InstanceId target, long number, long directDeadlineMs, long deadlineMs) {
        this.target = target;
        this.number = number;
        this.directDeadlineMs = directDeadlineMs;
        this.deadlineMs = deadlineMs;
    }

    static Probe start(InstanceId target, long number, long nowMs, FailureDetectorOptions options) {
        return new Probe(target, number, nowMs + options.directTimeoutMs(), nowMs + options.probeIntervalMs());
    }

    InstanceId target() {
        return target;
    }

    long number() {
        return number;
    }

    void onAck(long ackNumber) {
        acknowledged |= ackNumber == number;
    }

    /** Returns true once, when the direct ping was not acknowledged in time and indirect probes are due. */
    boolean takeIndirectDue(long nowMs) {
        boolean due = !acknowledged && !indirectSent && nowMs >= directDeadlineMs;
        indirectSent |= due;
        return due;
    }

    boolean hasFailed(long nowMs) {
        return !acknowledged && nowMs >= deadlineMs;
    }

    boolean isOver(long nowMs) {
        return acknowledged || nowMs >= deadlineMs;
    }

    void postpone(long byMs) {
        directDeadlineMs += byMs;
        deadlineMs += byMs;
    }
}
