package org.marjoramswitch.kernel.model;

/** The outcome of an attempt at a target, as observed on the entry's connection. */
public enum TargetOutcome {
    /** The complete response was read, with any status. */
    COMPLETED(false, false),
    /** The target's host refused the connection: nothing listens at the target's address. */
    CONNECTION_REFUSED(true, true),
    /** No byte of the request was sent on an open connection, or the target reported that it did not start the request. */
    REFUSED(true, true),
    /** No byte of the request was sent, because the time within which it was to be sent had passed. */
    NOT_SENT(true, false),
    /** No byte of the request was sent, because the caller has a part of a response that no other one can continue. */
    NOT_CONTINUABLE(true, false),
    /** The request was sent and the connection closed before any byte of the response reached the caller. */
    BROKEN_BEFORE_ANSWER(false, true),
    /** The connection closed after a part of the response had reached the caller. */
    BROKEN_IN_ANSWER(false, true),
    /** The target sent what its protocol does not allow before any byte of the response reached the caller. */
    INVALID_BEFORE_ANSWER(false, true),
    /** The target sent what its protocol does not allow after a part of the response had reached the caller. */
    INVALID_IN_ANSWER(false, true),
    /** The progress timeout elapsed before any byte of the response reached the caller. */
    SILENT_BEFORE_ANSWER(false, true),
    /** The progress timeout elapsed after a part of the response had reached the caller. */
    SILENT_IN_ANSWER(false, true),
    /** The complete response was read and reports an error; it is sent to the caller if no retry succeeds. */
    SERVER_ERROR(false, true),
    /** As {@link #SERVER_ERROR}, but the response was too long to be held back and has been sent to the caller. */
    SERVER_ERROR_DELIVERED(false, true),
    /** The entry cancelled the attempt because the caller disconnected. */
    CANCELLED(false, false);

    private final boolean notRun;
    private final boolean targetFault;

    TargetOutcome(boolean notRun, boolean targetFault) {
        this.notRun = notRun;
        this.targetFault = targetFault;
    }

    /** Whether the target certainly executed no part of the request. */
    public boolean notRun() {
        return notRun;
    }

    /** Whether the outcome counts against the target's health. */
    public boolean targetFault() {
        return targetFault;
    }

    /** Whether the connection closed during the exchange, as it does when the target crashes. */
    public boolean brokeOff() {
        return this == BROKEN_BEFORE_ANSWER || this == BROKEN_IN_ANSWER;
    }

    /** Whether the complete response was read, with any status. */
    public boolean isWhole() {
        return this == COMPLETED || this == SERVER_ERROR || this == SERVER_ERROR_DELIVERED;
    }

    /** Whether the progress timeout elapsed. */
    public boolean isSilent() {
        return this == SILENT_BEFORE_ANSWER || this == SILENT_IN_ANSWER;
    }

    /** Whether a part of the response had reached the caller, so that a new attempt could corrupt it. */
    public boolean answerBegun() {
        return this == BROKEN_IN_ANSWER || this == INVALID_IN_ANSWER || this == SILENT_IN_ANSWER;
    }
}
