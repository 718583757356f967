package org.marjoramswitch.daemon.route;

/** What a second execution of a route's requests does. */
public enum RouteKind {
    /** No harm. */
    IDEMPOTENT,
    /** Harm: a request runs once or not at all. */
    AT_MOST_ONCE,
    /** As {@link #AT_MOST_ONCE}; the answer is a stream of events. */
    STREAM,
    /** A stream of events that another target can go on with after any whole event. */
    RESUMABLE_STREAM;

    /** Whether a request may be sent again after a target may have executed it. */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    public boolean isStreaming() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
