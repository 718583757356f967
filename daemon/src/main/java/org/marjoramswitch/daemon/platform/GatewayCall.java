package org.marjoramswitch.daemon.platform;

import io.undertow.util.HeaderMap;
import java.util.function.Consumer;

/** One call on its way: what is sent, until when, and who hears its end. */
final class GatewayCall {

    /** How the call ended on the wire. */
    sealed interface Outcome {
        /** An answer was read whole. */
        @SuppressWarnings("ArrayRecordComponent") // answers are never compared, and nobody else keeps the array
        record Answer(int status, HeaderMap headers, byte[] body) implements Outcome {}

        /** No byte of the call left this process, or the service itself says that it did nothing. */
        record NotSent(String reason) implements Outcome {}

        /** Part of the call may have left, and no whole answer came. */
        record Cut(String reason) implements Outcome {}
    }

    private final String method;
    private final String path;
    private final String body;
    private final boolean once;
    private final long deadlineMs;
    private final Consumer<Outcome> end;
    private int limited;

    private GatewayCall(String method, String path, String body, boolean once, long deadlineMs, Consumer<Outcome> end) {
        this.method = method;
        this.path = path;
        this.body = body;
        this.once = once;
        this.deadlineMs = deadlineMs;
        this.end = end;
    }

    /** A call that may be made again where no answer came. */
    static GatewayCall repeatable(String method, String path, String body, long deadlineMs, Consumer<Outcome> end) {
        return new GatewayCall(method, path, body, false, deadlineMs, end);
    }

    /** A call whose first attempt has all the time there is, and of which no second is made once it may have arrived. */
    static GatewayCall once(String method, String path, String body, long deadlineMs, Consumer<Outcome> end) {
        return new GatewayCall(method, path, body, true, deadlineMs, end);
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

    /** Counts an answer that said "too many requests" and returns how many there were before it. */
    int countLimited() {
        return limited++;
    }

    void end(Outcome outcome) {
        end.accept(outcome);
    }
}
