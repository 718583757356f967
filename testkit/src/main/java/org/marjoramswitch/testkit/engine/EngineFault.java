package org.marjoramswitch.testkit.engine;

/** Fault applied to requests that arrive while it is set. */
public enum EngineFault {
    NONE,
    /** Responds 503 and reports that the request was not started. */
    NOT_STARTED,
    /** Executes the request but never sends a byte, not even in response to a resume call. */
    HANG,
    /** Closes the connection in the middle of the response. */
    BREAK_OFF,
    /** Delays the start of the response. */
    LATE,
    /** Sends the id of another request in the response. */
    WRONG_REQUEST_ID
}
