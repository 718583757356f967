package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Conventions for calls to targets and for interpreting their responses; depends on the kind of deployment.
 *
 * @param idHeader header that carries the request id in calls and responses; in lower case
 * @param idRequired whether a response without that header is rejected as crossed
 * @param successHeader header that each 2xx response to a call must have; in lower case, empty if there is none
 * @param forwarding whether calls and responses are forwarded unchanged, with the caller's Host header and without
 *     an end mark in streams
 * @param endsWithConnection whether a response without framing is complete when its connection is closed properly
 * @param refusals determines whether a response reports that the request was not started
 * @param headers headers set on a call in addition to the forwarded ones
 * @param notices reads status notices of a target from response heads
 * @param events determines which events a stream may have
 */
public record TargetProtocol(
        String idHeader,
        boolean idRequired,
        String successHeader,
        boolean forwarding,
        boolean endsWithConnection,
        RefusalRule refusals,
        HeaderSource headers,
        NoticeReader notices,
        EventRule events) {
    private static final String REQUEST_ID = "x-request-id";

    /** The default protocol: OpenAI-compatible model engines and plain services. */
    public static TargetProtocol defaults() {
        return new TargetProtocol(
                REQUEST_ID,
                false,
                "",
                false,
                false,
                RefusalRule.explicit(),
                (target, call, remainingMs) -> Map.of(),
                NoticeReader.NONE,
                EventRule.chatChunks());
    }

    /** Supplies the headers of a call that is about to be sent. */
    @FunctionalInterface
    public interface HeaderSource {
        /** @param remainingMs time until the caller's timeout; 0 if it set none */
        Map<String, String> of(TargetSettings target, TargetCall call, long remainingMs);
    }
}
