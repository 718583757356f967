package org.marjoramswitch.daemon.target;

/** Why an event is not allowed by its target's protocol. */
public enum EventFault {
    NONE,
    /** A line that is neither a comment nor a field that the protocol names. */
    UNKNOWN_FIELD,
    NO_ID,
    SEVERAL_IDS,
    /** An id, or a field with a number, that is no decimal number. */
    NOT_A_NUMBER,
    /** The id is not the one that is due. */
    OUT_OF_ORDER,
    NO_DATA,
    SEVERAL_DATA,
    /** The data is neither a JSON object nor the end mark. */
    NOT_AN_OBJECT,
    /** A field after the end mark of the stream. */
    AFTER_END,
    /** The event is larger than what is held of it, and nothing shows yet that it is allowed. */
    TOO_LARGE
}
