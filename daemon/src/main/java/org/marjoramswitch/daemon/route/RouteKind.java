package org.marjoramswitch.daemon.route;

/** Whether the requests of a route may be executed more than once, and whether their responses are event streams. */
public enum RouteKind {
    /** A repeated execution is harmless. */
    IDEMPOTENT,
    /** A repeated execution is harmful: a request is executed at most once. */
    AT_MOST_ONCE,
    /** As {@link #AT_MOST_ONCE}; the response is a stream of events. */
    STREAM,
    /** The response is a stream of events that another target can resume after any complete event. */
    RESUMABLE_STREAM;

    /** Whether a request may be sent again after a target may have executed it. */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    public boolean isStreaming() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
