package org.marjoramswitch.kernel.admission;

import java.util.Deque;

/**
 * A connection in {@link AcceptLine}.
 *
 * @param <C> type of a connection
 */
final class WaitingEntry<C> {
    private final C connection;
    private final long acceptedMs;
    private double tokensPerWork;
    private boolean removed;

    WaitingEntry(C connection, long acceptedMs) {
        this.connection = connection;
        this.acceptedMs = acceptedMs;
    }

    C connection() {
        return connection;
    }

    long acceptedMs() {
        return acceptedMs;
    }

    boolean isRemoved() {
        return removed;
    }

    void remove() {
        removed = true;
    }

    /** Tokens per estimated microsecond of processor time; 0 if the request or its size is not known. */
    double tokensPerWork() {
        return tokensPerWork;
    }

    void identified(AdmissionRequest request) {
        tokensPerWork =
                request.tokens() < 0 || request.workUs() <= 0 ? 0 : (double) request.tokens() / request.workUs();
    }

    boolean isFresh(long maxWaitMs, long nowMs) {
        return !removed && nowMs - acceptedMs < maxWaitMs;
    }

    /** Drops removed connections at both ends; returns whether none is left. */
    static <C> boolean trim(Deque<WaitingEntry<C>> entries) {
        while (!entries.isEmpty() && entries.getFirst().removed) {
            entries.removeFirst();
        }
        while (!entries.isEmpty() && entries.getLast().removed) {
            entries.removeLast();
        }
        return entries.isEmpty();
    }
}
