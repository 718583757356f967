package org.marjoramswitch.daemon.caller;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.CallDecoder.CallMetadata;

/**
 * The decoded headers of a request.
 *
 * @param headers keyed by lower-case name, without hop-by-hop headers
 * @param elapsedMs estimated time since the caller's first attempt, or {@link #UNKNOWN}. Each estimate counts the request,
 *     so it is made once.
 */
record CallHead(Map<String, String> headers, CallMetadata metadata, long elapsedMs) {
    private static final long UNKNOWN = -1;

    static CallHead of(Map<String, String> headers, CallMetadata metadata) {
        return new CallHead(headers, metadata, UNKNOWN);
    }

    CallHead withElapsedMs(long estimatedMs) {
        return new CallHead(headers, metadata, estimatedMs);
    }

    boolean hasElapsed() {
        return elapsedMs != UNKNOWN;
    }
}
