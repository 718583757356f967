package org.marjoramswitch.daemon.target;

/**
 * Decides whether to keep waiting for an engine that has sent nothing for the progress timeout.
 *
 * <p>An engine may be silent because it generates a non-streaming response or still queues the request, or because it
 * lost the request or the connection has failed. The request's state, queried over a new connection, distinguishes
 * these: new tokens since the last query are a reason to wait; a request that has ended, or tokens that a stream should
 * have delivered, indicate a failed connection.
 *
 * <p>Bytes may be in flight while the engine responds to the query, so a connection is considered failed only on the
 * second such result, after a brief wait. Without progress, waiting ends after {@link #MAX_STALLS} consecutive
 * timeouts, so that a request that the engine reports as queued forever still ends.
 *
 * <p>For example, a non-streaming response takes 25 s under a timeout of 10 s: the engine reports 2,500 tokens at 10 s
 * and 5,000 at 20 s, and responds at 25 s. If the connection failed before the request was sent, the engine reports at
 * 10 s that the request is unknown, and the attempt ends.
 */
final class EngineStallPolicy {
    /** Consecutive timeouts without progress on a request that the engine reports as queued or running. */
    static final int MAX_STALLS = 3;
    /** The same for a non-streaming request whose state the engine does not report. */
    static final int MAX_UNREPORTED_STALLS = 6;

    private final boolean streaming;
    private long lastTokens;
    private int stalls;
    private int suspicions;

    private EngineStallPolicy(boolean streaming) {
        this.streaming = streaming;
    }

    static EngineStallPolicy of(boolean streaming) {
        return new EngineStallPolicy(streaming);
    }

    /** Evaluates one more timeout; {@code receivedChunks} is the number of stream chunks received so far. */
    Verdict evaluate(EngineState state, long receivedChunks) {
        return switch (state.phase()) {
            case UNREACHABLE, UNKNOWN -> Verdict.GIVE_UP;
            case NOT_TOLD -> streaming ? Verdict.GIVE_UP : stalled(MAX_UNREPORTED_STALLS);
            case CANCELLED -> Verdict.GIVE_UP;
            case ENDED -> suspected();
            case QUEUED, RUNNING -> evaluateHeld(state, receivedChunks);
        };
    }

    private Verdict evaluateHeld(EngineState state, long receivedChunks) {
        if (streaming && state.tokens() > receivedChunks) {
            return suspected();
        }
        if (state.tokens() > lastTokens) {
            lastTokens = state.tokens();
            stalls = 0;
            return Verdict.WAIT;
        }
        return stalled(MAX_STALLS);
    }

    private Verdict stalled(int maxStalls) {
        stalls++;
        return stalls < maxStalls ? Verdict.WAIT : Verdict.GIVE_UP;
    }

    private Verdict suspected() {
        suspicions++;
        return suspicions == 1 ? Verdict.WAIT_BRIEFLY : Verdict.LEAVE_CONNECTION;
    }

    /** How to proceed after a timeout. */
    enum Verdict {
        /** Waits for another progress timeout. */
        WAIT,
        WAIT_BRIEFLY,
        /** The engine has produced what was not received: the connection has failed. */
        LEAVE_CONNECTION,
        GIVE_UP
    }
}
