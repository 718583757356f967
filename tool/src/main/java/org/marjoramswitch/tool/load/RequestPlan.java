package org.marjoramswitch.tool.load;

import org.marjoramswitch.tool.http.HttpCall;

/**
 * A generated request. Every attempt sends the same method, path, body and headers, apart from the request key.
 *
 * @param requestId unique within the run; a plain service echoes it in its response
 * @param repeatable whether the request may be executed again after an attempt with an unknown outcome
 */
public record RequestPlan(
        String requestId, String customer, Kind kind, boolean streaming, boolean repeatable, HttpCall call) {
    /** Kind of target that the request is for. */
    public enum Kind {
        MODEL,
        SERVICE
    }
}
