package org.marjoramswitch.daemon.platform;

import io.undertow.util.HeaderMap;
import java.util.function.Consumer;

/** A call in progress: its request, its deadline and the callback for its outcome. */
final class GatewayCall {

    /** Outcome of a call at the HTTP level. */
    sealed interface Outcome {
        /** A complete response was received. */
        @SuppressWarnings("ArrayRecordComponent") // responses are never compared, and the array is not shared
        record Response(int status, HeaderMap headers, byte[] body) implements Outcome {}

        /** Nothing was sent, or the store reported that it did nothing. */
        record NotSent(String reason) implements Outcome {}

        /** Part of the request may have been sent, and no complete response was received. */
        record Failed(String reason) implements Outcome {}
    }

    private final String method;
    private final String path;
    private final String body;
    private final boolean once;
    private final long deadlineMs;
    private final Consumer<Outcome> onEnd;

    private GatewayCall(
            String method, String path, String body, boolean once, long deadlineMs, Consumer<Outcome> onEnd) {
        this.method = method;
        this.path = path;
        this.body = body;
        this.once = once;
        this.deadlineMs = deadlineMs;
        this.onEnd = onEnd;
    }

    /** A call that may be sent again if no response was received. */
    static GatewayCall repeatable(String method, String path, String body, long deadlineMs, Consumer<Outcome> onEnd) {
        return new GatewayCall(method, path, body, false, deadlineMs, onEnd);
    }

    /** A call that is not sent again once it may have arrived; its attempt may take until the deadline. */
    static GatewayCall once(String method, String path, String body, long deadlineMs, Consumer<Outcome> onEnd) {
        return new GatewayCall(method, path, body, true, deadlineMs, onEnd);
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    String body() {
        return body;
    }

    boolean isOnce() {
        return once;
    }

    long remainingMs(long nowMs) {
        return deadlineMs - nowMs;
    }

    void complete(Outcome outcome) {
        onEnd.accept(outcome);
    }
}
