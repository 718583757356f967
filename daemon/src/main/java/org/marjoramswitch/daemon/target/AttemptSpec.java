package org.marjoramswitch.daemon.target;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * What an attempt is to do.
 *
 * @param requestId what the answer has to echo, where it echoes anything
 * @param progressTimeoutMs how long the target may be silent
 * @param protocol how the target is spoken to
 */
record AttemptSpec(
        Purpose purpose,
        TargetSettings target,
        TargetCall call,
        String requestId,
        long progressTimeoutMs,
        TargetProtocol protocol) {
    private static final String RESUME_PATH = "/v1/resume/";

    static AttemptSpec of(
            Purpose purpose,
            TargetSettings target,
            TargetCall call,
            String requestId,
            long progressTimeoutMs,
            TargetProtocol protocol) {
        return new AttemptSpec(purpose, target, call, requestId, progressTimeoutMs, protocol);
    }

    TargetAddress address() {
        return TargetAddress.of(target);
    }

    /** The call that gives the answer from one of its chunks on, without executing anything. */
    TargetCall resumeFrom(long chunk) {
        String path = RESUME_PATH + URLEncoder.encode(requestId, StandardCharsets.UTF_8) + "?from=" + chunk;
        return TargetCall.of(call.kind(), "GET", path, Map.of(), new byte[0], call.streaming());
    }

    /** Whether the target can be asked what became of the request. */
    boolean isAskable() {
        return purpose == Purpose.CALL && isEngineCall();
    }

    /** Whether the call speaks the product's own protocol of model engines. */
    boolean isEngineCall() {
        return call.kind() == TargetKind.MODEL_ENGINE && !protocol.forwarding();
    }

    /** What an attempt is for; the two are counted and logged apart. */
    enum Purpose {
        /** A caller's request. */
        CALL("attempt_ended"),
        /** A question of the router's own: load, cache events, a request's state. */
        QUESTION("question_ended");

        private final String endEvent;

        Purpose(String endEvent) {
            this.endEvent = endEvent;
        }

        /** The log's event at the end. */
        String endEvent() {
            return endEvent;
        }
    }
}
