package org.marjoramswitch.testkit.service;

/** Fault applied to calls that arrive while it is set. */
public enum ServiceFault {
    NONE,
    /** Executes the call and responds late. */
    SLOW,
    /** Executes the call and closes the connection before the first byte of the response. */
    BREAK_AFTER_EXECUTING,
    /** Responds 503 and reports that the call was not started. */
    NOT_STARTED,
    /** Executes the call and never responds. */
    HANG
}
