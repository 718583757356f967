package org.marjoramswitch.daemon.target;

/**
 * Judges whether an engine that has been silent for the progress timeout is to be waited for.
 *
 * <p>An engine is silent for good reasons (it works on an answer that it gives whole, or the request stands in its queue)
 * and for bad ones (it lost the request, or the connection lost track of it while the engine works on for nobody). What
 * the engine says over a new connection tells them apart: progress since the last question is a good reason; a request
 * that has ended, or tokens that should have arrived on a stream and did not, are bad ones, of the connection's.
 *
 * <p>Bytes may be on their way while the engine answers, so a bad reason is believed the second time only, after a brief
 * wait. Without progress the patience ends after {@link #MAX_STALLS} timeouts, so that a request whose engine repeats
 * "queued" for ever still ends.
 *
 * <p>For example, a whole answer that takes 25 s under a timeout of 10 s: asked at 10 s the engine says 2,500 tokens, at
 * 20 s 5,000, and the answer comes at 25 s. On a connection that went silent before the request was sent, the engine
 * says at 10 s that it knows no such request, and the attempt is over.
 */
final class EngineStallPolicy {
    /** Timeouts in a row in which an engine may show no progress on a request that it says it holds. */
    static final int MAX_STALLS = 3;
    /** The same where the engine cannot say and gives its answer whole at the end. */
    static final int MAX_UNTOLD = 6;

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

    /** Judges one more silence, after {@code receivedChunks} of a stream came. */
    Verdict judge(EngineState state, long receivedChunks) {
        return switch (state.phase()) {
            case UNREACHABLE, UNKNOWN -> Verdict.GIVE_UP;
            case NOT_TOLD -> streaming ? Verdict.GIVE_UP : stalled(MAX_UNTOLD);
            case CANCELLED -> Verdict.GIVE_UP;
            case ENDED -> suspected();
            case QUEUED, RUNNING -> held(state, receivedChunks);
        };
    }

    private Verdict held(EngineState state, long receivedChunks) {
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

    private Verdict stalled(int most) {
        stalls++;
        return stalls < most ? Verdict.WAIT : Verdict.GIVE_UP;
    }

    private Verdict suspected() {
        suspicions++;
        return suspicions == 1 ? Verdict.WAIT_BRIEFLY : Verdict.LEAVE_CONNECTION;
    }

    /** What to do about a silence. */
    enum Verdict {
        /** One more timeout. */
        WAIT,
        WAIT_BRIEFLY,
        /** The engine has what did not come: the connection is to blame. */
        LEAVE_CONNECTION,
        GIVE_UP
    }
}
