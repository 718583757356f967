package org.marjoramswitch.testkit.engine;

import java.util.ArrayList;
import java.util.List;

/** Execution of a request in the engine. Modified only by the step thread. */
final class Generation {
    enum State {
        QUEUED,
        RUNNING,
        ENDED,
        CANCELLED
    }

    private final ChatRequest request;
    private final List<TokenListener> listeners = new ArrayList<>();
    private volatile State state = State.QUEUED;
    private volatile int tokens;
    private int prefillSteps;
    private int cachedTokens;

    Generation(ChatRequest request) {
        this.request = request;
    }

    ChatRequest request() {
        return request;
    }

    State state() {
        return state;
    }

    /** Returns the number of output tokens generated so far. */
    int tokens() {
        return tokens;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    boolean isOver() {
        return state == State.ENDED || state == State.CANCELLED;
    }

    void listen(TokenListener listener) {
        if (isOver()) {
            listener.onEnd(this);
            return;
        }
        listeners.add(listener);
    }

    void start(int cachedPromptTokens, int stepsOfPrefill) {
        cachedTokens = cachedPromptTokens;
        prefillSteps = stepsOfPrefill;
        state = State.RUNNING;
    }

    /** Runs one step and returns whether it generated a token. */
    boolean step() {
        if (prefillSteps > 0) {
            prefillSteps--;
            return false;
        }
        int generated = tokens + 1;
        tokens = generated;
        if (generated >= request.outputTokens()) {
            end(State.ENDED);
        } else {
            listeners.forEach(listener -> listener.onToken(this));
        }
        return true;
    }

    void cancel() {
        end(State.CANCELLED);
    }

    private void end(State finalState) {
        state = finalState;
        listeners.forEach(listener -> listener.onEnd(this));
        listeners.clear();
    }

    /** Receives the progress of a generation, on the step thread. */
    interface TokenListener {
        void onToken(Generation generation);

        /** Called once, when the generation has produced its last token or has been cancelled. */
        void onEnd(Generation generation);
    }
}
