package org.marjoramswitch.kernel.model;

/** How an attempt at a target ended, as the entry's connection to it saw the end. */
public enum TargetOutcome {
    /** The target's whole answer was read, whatever status it bore. */
    COMPLETED(false, false),
    /** No byte of the request went out, or the target said that it did not start it. */
    REFUSED(true, true),
    /** The request went out and the connection ended before a byte of the answer reached the caller. */
    BROKEN_BEFORE_ANSWER(false, true),
    /** The answer broke off after a part of it had reached the caller. */
    BROKEN_IN_ANSWER(false, true),
    /** No progress until the progress timeout, nothing had reached the caller. */
    SILENT_BEFORE_ANSWER(false, true),
    /** No progress until the progress timeout, a part of the answer had reached the caller. */
    SILENT_IN_ANSWER(false, true),
    /** The target's whole answer was read and says that it failed; it may go to the caller if nothing better comes. */
    SERVER_ERROR(false, true),
    /** The entry cancelled the attempt because the caller was gone. */
    CANCELLED(false, false);

    private final boolean notRun;
    private final boolean targetFault;

    TargetOutcome(boolean notRun, boolean targetFault) {
        this.notRun = notRun;
        this.targetFault = targetFault;
    }

    /** True where the attempt certainly executed nothing. */
    public boolean notRun() {
        return notRun;
    }

    /** True where the outcome counts against the target's health. */
    public boolean targetFault() {
        return targetFault;
    }

    /** True where the connection ended in the middle of the exchange, as it does when the target ends. */
    public boolean brokeOff() {
        return this == BROKEN_BEFORE_ANSWER || this == BROKEN_IN_ANSWER;
    }

    /** True where a part of the answer had reached the caller, so that a new attempt could garble it. */
    public boolean answerBegun() {
        return this == BROKEN_IN_ANSWER || this == SILENT_IN_ANSWER;
    }
}
