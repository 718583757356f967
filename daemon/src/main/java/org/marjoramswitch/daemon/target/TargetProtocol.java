package org.marjoramswitch.daemon.target;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * How targets are spoken to and their answers judged; what runs behind the instance decides it.
 *
 * @param idHeader names a request at the target and in its answer; in lower case
 * @param idNeeded whether an answer without that header is nobody's
 * @param forwarding whether calls and answers pass unchanged, with the caller's own host name and no end mark in streams
 * @param endsWithConnection whether an answer without a length is whole when its connection ends in order
 * @param refusals judges whether an answer says that the request was not executed
 * @param headers what is set on a call beside the headers that go on
 * @param notices reads what a target says of itself beside its answers
 */
public record TargetProtocol(
        String idHeader,
        boolean idNeeded,
        boolean forwarding,
        boolean endsWithConnection,
        RefusalRule refusals,
        HeaderSource headers,
        NoticeReader notices) {
    private static final String REQUEST_ID = "x-request-id";

    /** The product's own: model engines that speak the OpenAI-compatible protocol, and plain services. */
    public static TargetProtocol own() {
        return new TargetProtocol(
                REQUEST_ID,
                false,
                false,
                false,
                RefusalRule.explicit(),
                (target, call, leftMs) -> Map.of(),
                NoticeReader.SILENT);
    }

    /** Gives the headers of a call that is about to be sent. */
    @FunctionalInterface
    public interface HeaderSource {
        /** @param leftMs until the caller waits no longer; 0 where it did not say */
        Map<String, String> of(TargetSettings target, TargetCall call, long leftMs);
    }
}
