package org.marjoramswitch.daemon.http;

import java.nio.charset.StandardCharsets;

/**
 * What the fields of a head say about the end of its body (RFC 9112, sections 6.1 to 6.3). Valid are one {@code
 * Content-Length} of digits, or {@code chunked} alone as the {@code Transfer-Encoding}: no request asks for other codings.
 */
final class BodyFields {
    static final long NONE = -1;

    private static final String LENGTH = "content-length";
    private static final String CODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    /** Valid values are shorter, except for blanks at their ends. */
    private static final int MAX_BYTES = 64;
    /** More digits could exceed a long. */
    private static final int MAX_DIGITS = 18;

    /** The beginning of the name, then of the value. */
    private final byte[] text = new byte[MAX_BYTES];

    private int textLength;
    private Field field = Field.NOT_KNOWN;
    private int count;
    private boolean valid;
    private boolean chunked;
    private long length;

    private enum Field {
        NOT_KNOWN,
        LENGTH,
        CODING,
        OTHER
    }

    void beginHead() {
        count = 0;
        valid = true;
        chunked = false;
        length = NONE;
    }

    void beginLine() {
        textLength = 0;
        field = Field.NOT_KNOWN;
    }

    void acceptName(byte[] bytes, int from, int to) {
        append(bytes, from, to);
    }

    void endName() {
        if (textLength == LENGTH.length() && LENGTH.equalsIgnoreCase(text())) {
            field = Field.LENGTH;
        } else if (textLength == CODING.length() && CODING.equalsIgnoreCase(text())) {
            field = Field.CODING;
        } else {
            field = Field.OTHER;
        }
        textLength = 0;
    }

    void acceptValue(byte[] bytes, int from, int to) {
        if (field == Field.OTHER) {
            return;
        }
        int start = from;
        while (textLength == 0 && start < to && HttpBytes.isBlank(bytes[start])) {
            start++;
        }
        valid &= append(bytes, start, to);
    }

    /** Returns false if not all of the bytes could be held. */
    private boolean append(byte[] bytes, int from, int to) {
        int held = Math.min(to - from, MAX_BYTES - textLength);
        System.arraycopy(bytes, from, text, textLength, held);
        textLength += held;
        return held == to - from;
    }

    private String text() {
        return new String(text, 0, textLength, StandardCharsets.ISO_8859_1);
    }

    void endLine() {
        if (field == Field.OTHER || field == Field.NOT_KNOWN) {
            return;
        }
        count++;
        String value = text().stripTrailing();
        if (field == Field.CODING) {
            chunked = value.equalsIgnoreCase(CHUNKED);
            valid &= chunked;
            return;
        }
        valid &= !value.isEmpty()
                && value.length() <= MAX_DIGITS
                && value.chars().allMatch(HttpBytes::isDigit);
        length = valid ? Long.parseLong(value) : NONE;
    }

    /** Whether the fields state one end of the body, or none. */
    boolean areValid() {
        return valid && count <= 1;
    }

    boolean isChunked() {
        return chunked;
    }

    /** The stated length of the body, or {@link #NONE}. */
    long length() {
        return length;
    }
}
