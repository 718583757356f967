package org.marjoramswitch.tool.load;

/** Non-standard request headers. */
final class CallerHeaders {
    /** Read by the fleet: {@code yes} or {@code no}. */
    static final String REPEATABLE = "Repeatable";

    /** Forwarded to the targets; stand-in services count the executions of each call by this header. */
    static final String CALL_KEY = "X-Call-Key";

    /** Read by the fleet: identifies one execution across all attempts that carry the same key. */
    static final String REQUEST_KEY = "Request-Key";

    private CallerHeaders() {}
}
