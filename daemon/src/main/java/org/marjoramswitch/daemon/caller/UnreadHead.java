package org.marjoramswitch.daemon.caller;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What is known of a request from the bytes of its head alone, before it is read by the HTTP server. Only {@link
 * ForwardHandler} decides what is valid: a head with faults yields what was found.
 *
 * @param requestUri the request target of the first line; empty if it has none
 * @param headers the first values of the headers that {@link UnreadHeadParser} looks for, by lower-case name
 * @param headBytes length of the head with its last empty line
 * @param bodyBytes length of the body; {@link #UNKNOWN} if it is chunked or not stated once as a number
 */
record UnreadHead(String requestUri, Map<String, String> headers, int headBytes, long bodyBytes) {
    static final long UNKNOWN = -1;

    static final String AUTHORIZATION = "authorization";

    /** Value of the Authorization header; null if there is none. */
    @Nullable
    String authorization() {
        return headers.get(AUTHORIZATION);
    }
}
