package org.marjoramswitch.daemon.http;

/** Classes of bytes in the grammar of HTTP. */
final class HttpBytes {
    private static final int COUNT = 256;
    private static final int DELETE = 127;
    private static final int CASE_BIT = 0x20;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final boolean[] TOKEN = new boolean[COUNT];
    private static final boolean[] TEXT = new boolean[COUNT];

    static {
        for (int value = 0; value < COUNT; value++) {
            boolean letter = (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z');
            TOKEN[value] = letter || isDigit(value) || TOKEN_SYMBOLS.indexOf(value) >= 0;
            TEXT[value] = isBlank(value) || (value > ' ' && value != DELETE);
        }
    }

    private HttpBytes() {}

    /** Whether the byte may be a part of a field's name. */
    static boolean isToken(byte value) {
        return TOKEN[Byte.toUnsignedInt(value)];
    }

    /** The index of the first byte that may not be a part of a field's value or of a reason phrase, or {@code to}. */
    static int endOfText(byte[] bytes, int from, int to) {
        int at = from;
        while (at < to && TEXT[bytes[at] & (COUNT - 1)]) {
            at++;
        }
        return at;
    }

    static boolean isBlank(int value) {
        return value == ' ' || value == '\t';
    }

    static boolean isDigit(int value) {
        return value >= '0' && value <= '9';
    }

    /** The value of a hexadecimal digit; -1 for other bytes. */
    static int hexValue(int value) {
        if (isDigit(value)) {
            return value - '0';
        }
        int lower = value | CASE_BIT;
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }
}
