package org.marjoramswitch.daemon.http;

/** The size of a chunk and its extensions (RFC 9112, section 7.1). The content of extensions is not checked. */
final class ChunkLine implements Line {
    private static final int DIGIT_BITS = 4;
    private static final long MAX_BEFORE_DIGIT = Long.MAX_VALUE >> DIGIT_BITS;

    private State state = State.BEFORE_SIZE;
    private long size;

    private enum State {
        BEFORE_SIZE,
        IN_SIZE,
        /** Blanks follow the size, which only an extension may follow. */
        BEFORE_EXTENSION,
        IN_EXTENSION
    }

    void begin() {
        state = State.BEFORE_SIZE;
        size = 0;
    }

    @Override
    public int accept(byte[] bytes, int from, int to) {
        int at = from;
        while (at < to && state != State.IN_EXTENSION) {
            if (!acceptBeforeExtension(bytes[at])) {
                return at;
            }
            at++;
        }
        return HttpBytes.endOfText(bytes, at, to);
    }

    private boolean acceptBeforeExtension(byte value) {
        if (state != State.BEFORE_SIZE && value == ';') {
            state = State.IN_EXTENSION;
            return true;
        }
        if (state != State.BEFORE_SIZE && HttpBytes.isBlank(value)) {
            state = State.BEFORE_EXTENSION;
            return true;
        }
        int digit = HttpBytes.hexValue(value);
        if (state == State.BEFORE_EXTENSION || digit < 0 || size > MAX_BEFORE_DIGIT) {
            return false;
        }
        state = State.IN_SIZE;
        size = (size << DIGIT_BITS) + digit;
        return true;
    }

    @Override
    public boolean end() {
        return state == State.IN_SIZE || state == State.IN_EXTENSION;
    }

    /** The number of bytes of data that follow. */
    long size() {
        return size;
    }
}
