package org.marjoramswitch.daemon.http;

/** The status line of a response (RFC 9112, section 4). */
final class StatusLine implements Line {
    private static final String PROTOCOL = "HTTP/1.";
    private static final int BLANK_AT = PROTOCOL.length() + 1;
    private static final int STATUS_AT = BLANK_AT + 1;
    private static final int STATUS_DIGITS = 3;
    private static final int STATUS_END = STATUS_AT + STATUS_DIGITS;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    /** The number of bytes before the reason phrase, up to and including the blank after the status. */
    private int length;

    private int status;

    void begin() {
        length = 0;
        status = 0;
    }

    @Override
    public int accept(byte[] bytes, int from, int to) {
        int at = from;
        while (at < to && length <= STATUS_END) {
            if (!acceptBeforeReason(bytes[at])) {
                return at;
            }
            length++;
            at++;
        }
        return HttpBytes.endOfText(bytes, at, to);
    }

    private boolean acceptBeforeReason(byte value) {
        if (length < PROTOCOL.length()) {
            return value == PROTOCOL.charAt(length);
        }
        if (length == BLANK_AT || length == STATUS_END) {
            return value == ' ';
        }
        if (length >= STATUS_AT) {
            status = 10 * status + value - '0';
        }
        return HttpBytes.isDigit(value);
    }

    @Override
    public boolean end() {
        return length > STATUS_END && status >= MIN_STATUS && status <= MAX_STATUS;
    }

    int status() {
        return status;
    }
}
