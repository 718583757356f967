package org.marjoramswitch.tool.load;

/** Classification of an attempt from what its caller observed. */
public enum AttemptVerdict {
    /** A complete response that belongs to this request. */
    ANSWERED,
    /** Rejected, with a problem body that says that nothing was executed, or not connected. */
    NOT_RUN,
    /** Rejected or failed without the statement that nothing was executed. */
    UNKNOWN,
    /** The connection failed before the response was complete. */
    BROKEN,
    /** The stream ended with an error event. */
    MARKED,
    /** No byte was received within the caller's timeout. */
    SILENT,
    /** The framing is complete, but the content is not. */
    TRUNCATED,
    /** A complete response that belongs to another request. */
    CROSSED
}
