package org.marjoramswitch.daemon.exchange;

/** Checks whether a caller has disconnected. */
@FunctionalInterface
public interface CallerCheck {
    /** A caller that is always connected. */
    CallerCheck CONNECTED = result -> result.accept(false);

    /**
     * Reads the input of the caller's connection, in which a close may lie unread, and passes on whether the caller has
     * disconnected. That may happen later and on another thread: a connection is read by its own thread only. May be
     * called on any thread.
     */
    void check(Result result);

    /** Receives the result of a check. */
    @FunctionalInterface
    interface Result {
        void accept(boolean gone);
    }
}
