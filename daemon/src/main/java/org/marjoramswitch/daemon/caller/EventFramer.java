package org.marjoramswitch.daemon.caller;

import java.io.ByteArrayOutputStream;

/**
 * Splits a byte stream into complete server-sent events. Each result ends at an event boundary, so that a comment or an
 * error event may follow and an interruption never leaves a partial event that looks complete.
 *
 * <p>An event ends with an empty line. Lines end with LF, CR LF or CR.
 *
 * <p>Edge cases: if a CR LF is split between two calls, the LF is returned with the next event and reads as an
 * additional empty line, which has no meaning. An event larger than {@value #MAX_HELD_BYTES} bytes is returned in
 * parts; {@link #atBoundary} is false until its end.
 */
final class EventFramer {
    static final int MAX_HELD_BYTES = 256 << 10;
    private static final byte[] EMPTY = {};

    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private boolean lineEmpty = true;
    private boolean lastWasCr;
    private boolean midEvent;

    /** Adds the next bytes and returns all bytes up to the end of the last complete event. */
    byte[] accept(byte[] bytes) {
        int end = lastEventEnd(bytes);
        if (end == 0) {
            return hold(bytes);
        }
        held.write(bytes, 0, end);
        byte[] events = held.toByteArray();
        held.reset();
        held.write(bytes, end, bytes.length - end);
        midEvent = false;
        return events;
    }

    /** Returns and clears the held bytes of an incomplete event. */
    byte[] remainder() {
        byte[] remainder = held.toByteArray();
        held.reset();
        return remainder;
    }

    /** Whether the returned bytes end with a complete event. */
    boolean atBoundary() {
        return !midEvent;
    }

    private byte[] hold(byte[] bytes) {
        held.writeBytes(bytes);
        if (held.size() <= MAX_HELD_BYTES) {
            return EMPTY;
        }
        midEvent = true;
        return remainder();
    }

    /** The index after the last empty line that ends in {@code bytes}; 0 if there is none. */
    private int lastEventEnd(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte b = bytes[i];
            if (b == '\n' && lastWasCr) {
                // The second half of CR LF belongs to the line that the CR ended.
                end = end == i && end > 0 ? i + 1 : end;
            } else if (b == '\n' || b == '\r') {
                end = lineEmpty ? i + 1 : end;
                lineEmpty = true;
            } else {
                lineEmpty = false;
            }
            lastWasCr = b == '\r';
        }
        return end;
    }
}
