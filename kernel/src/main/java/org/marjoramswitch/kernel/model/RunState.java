package org.marjoramswitch.kernel.model;

/** Whether a rejected or failed request may have been executed. */
public enum RunState {
    /** No target has executed or will execute any part of the request. */
    NOT_RUN("not-run"),
    /** A target may have executed the request. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** The value of the problem body's {@code run} member. */
    public String wireName() {
        return wireName;
    }
}
