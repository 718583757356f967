package org.marjoramswitch.daemon.http;

/** The part of a response that violates the grammar of HTTP/1.1 (RFC 9112). */
public enum ResponseFault {
    /** The status line, or a status outside 100 to 599. */
    STATUS_LINE,
    /** A field line of the head or of the trailers, among them one that begins with a blank. */
    FIELD_LINE,
    /** The head states the end of its body by an invalid field, or more than once. */
    BODY_FIELDS,
    /** The size of a chunk, or data that does not end where its size says. */
    CHUNK
}
