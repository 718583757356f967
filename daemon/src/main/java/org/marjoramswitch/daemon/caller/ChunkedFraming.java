package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;

/**
 * Follows the chunked encoding of a request's body as it is received, and counts what takes memory or time and is no part of
 * the body: chunk extensions, trailers, and all bytes after one that RFC 9112, section 7.1, does not allow.
 *
 * <p>Undertow's parser accepts more than the RFC, so that the two would disagree about where a body ends. Whatever it reads
 * after the end that is found here is counted as well, see {@link #receive}.
 */
final class ChunkedFraming {
    /**
     * Undertow keeps a size in the lower 57 bits of its state, and accepts sizes of up to 61 bits. Those that are larger set
     * flags of the state, such as the one for trailers, so that what follows is no data.
     */
    private static final int MAX_SIZE_DIGITS = 14;

    private static final int HEX_RADIX = 16;

    private State state = State.SIZE;
    private int sizeDigits;
    private long chunkBytes;
    private long extensionBytes;
    private long trailerBytes;
    private int trailers;

    private ChunkedFraming() {}

    static ChunkedFraming begin() {
        return new ChunkedFraming();
    }

    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        /** At the beginning of a trailer, or of the empty line after the last one. */
        TRAILERS,
        TRAILER,
        TRAILER_LF,
        LAST_LF,
        ENDED,
        INVALID
    }

    /** Bytes of chunk extensions so far, which Undertow skips. */
    long extensionBytes() {
        return extensionBytes;
    }

    /** Bytes of trailers so far, and of what is not in the encoding, which Undertow may take for trailers. */
    long trailerBytes() {
        return trailerBytes;
    }

    /** Trailers that have begun. */
    int trailers() {
        return trailers;
    }

    /** Follows the bytes that one read for this body has brought; those behind its end belong to another request. */
    void receive(ByteBuffer bytes) {
        if (state == State.ENDED) {
            state = State.INVALID;
        }
        while (bytes.hasRemaining() && state != State.ENDED) {
            switch (state) {
                case DATA -> skipData(bytes);
                case INVALID -> {
                    trailerBytes += bytes.remaining();
                    return;
                }
                default -> state = next(bytes.get());
            }
        }
    }

    private void skipData(ByteBuffer bytes) {
        int skipped = (int) Math.min(chunkBytes, bytes.remaining());
        bytes.position(bytes.position() + skipped);
        chunkBytes -= skipped;
        if (chunkBytes == 0) {
            state = State.DATA_CR;
        }
    }

    private State next(byte value) {
        return switch (state) {
            case SIZE -> size(value);
            case EXTENSION -> extension(value);
            case SIZE_LF -> value == '\n' ? chunkBegins() : State.INVALID;
            case DATA_CR -> value == '\r' ? State.DATA_LF : State.INVALID;
            case DATA_LF -> value == '\n' ? State.SIZE : State.INVALID;
            case TRAILERS -> trailers(value);
            case TRAILER -> trailer(value);
            case TRAILER_LF -> value == '\n' ? State.TRAILERS : State.INVALID;
            case LAST_LF -> value == '\n' ? State.ENDED : State.INVALID;
            case DATA, ENDED, INVALID -> throw new IllegalStateException(state.toString());
        };
    }

    private State size(byte value) {
        int digit = Character.digit(value, HEX_RADIX);
        if (digit >= 0) {
            chunkBytes = chunkBytes * HEX_RADIX + digit;
            sizeDigits++;
            return sizeDigits <= MAX_SIZE_DIGITS ? State.SIZE : State.INVALID;
        }
        if (sizeDigits == 0) {
            return State.INVALID;
        }
        if (value == '\r') {
            return State.SIZE_LF;
        }
        boolean extensionBegins = value == ';' || value == ' ' || value == '\t';
        return extensionBegins ? extension(value) : State.INVALID;
    }

    private State chunkBegins() {
        sizeDigits = 0;
        return chunkBytes == 0 ? State.TRAILERS : State.DATA;
    }

    private State trailers(byte value) {
        if (value == '\r') {
            return State.LAST_LF;
        }
        trailers++;
        return trailer(value);
    }

    private State extension(byte value) {
        extensionBytes++;
        return lineByte(value, State.EXTENSION, State.SIZE_LF);
    }

    private State trailer(byte value) {
        trailerBytes++;
        return lineByte(value, State.TRAILER, State.TRAILER_LF);
    }

    private static State lineByte(byte value, State sameLine, State lineEnd) {
        if (value == '\n') {
            return State.INVALID;
        }
        return value == '\r' ? lineEnd : sameLine;
    }
}
