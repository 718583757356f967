package org.marjoramswitch.kernel.wire;

/** Why bytes from a peer could not be decoded. */
public enum WireFault {
    /** The bytes end inside a value. */
    TRUNCATED,
    /** A value is of another type than its field, or out of the field's range. */
    WRONG_TYPE,
    /** A required field is missing. */
    FIELD_MISSING,
    /** The sender never defined the id on this link. */
    UNKNOWN_ID,
    /** A text, list, frame or datagram exceeds its limit. */
    TOO_LARGE,
    /** The authentication code does not match. */
    UNAUTHENTICATED
}
