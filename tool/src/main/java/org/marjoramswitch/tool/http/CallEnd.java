package org.marjoramswitch.tool.http;

/** How a call ended at the connection level, independent of the response's status and content. */
public enum CallEnd {
    /** The response was read to the end of its HTTP framing. */
    COMPLETE,
    /** No connection could be opened, so no byte of the request was sent. */
    NOT_CONNECTED,
    /** The connection failed before the end of the response framing. */
    BROKEN,
    /** The client cancelled the call. */
    CANCELLED
}
