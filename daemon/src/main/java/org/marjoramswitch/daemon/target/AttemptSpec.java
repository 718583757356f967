package org.marjoramswitch.daemon.target;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Describes an attempt: the target, the call and the protocol.
 *
 * @param requestId id that the response must carry if it carries any
 * @param progressTimeoutMs longest time without a byte sent or received
 * @param protocol conventions of the target's HTTP interface
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

    /** The call that fetches the response from the given chunk on, without executing the request again. */
    TargetCall resumeFrom(long chunk) {
        String path = RESUME_PATH + URLEncoder.encode(requestId, StandardCharsets.UTF_8) + "?from=" + chunk;
        return TargetCall.of(call.kind(), "GET", path, Map.of(), new byte[0], call.streaming());
    }

    /** Whether the target can be queried for the state of the request. */
    boolean isQueryable() {
        return purpose == Purpose.CALL && isEngineCall();
    }

    /** Whether the call uses the default protocol for model engines. */
    boolean isEngineCall() {
        return call.kind() == TargetKind.MODEL_ENGINE && !protocol.forwarding();
    }

    /** Purpose of an attempt; counted and logged separately. */
    enum Purpose {
        /** A caller's request. */
        CALL("attempt_ended"),
        /** A query by the router itself: load, cache events, a request's state. */
        QUERY("question_ended");

        private final String endEvent;

        Purpose(String endEvent) {
            this.endEvent = endEvent;
        }

        /** Log event written when the attempt ends. */
        String endEvent() {
            return endEvent;
        }
    }
}
