package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * What is known of a request from the bytes of its head alone, before it is read by the HTTP server. Only {@link
 * ForwardHandler} decides what is valid: a head with faults yields what was found.
 *
 * @param authorization value of the Authorization header; null if there is none
 * @param headBytes length of the head with its last empty line
 * @param bodyBytes length of the body; {@link #UNKNOWN} if it is chunked or not stated once as a number
 */
record UnreadHead(@Nullable String authorization, int headBytes, long bodyBytes) {
    static final long UNKNOWN = -1;

    private static final String AUTHORIZATION = "authorization";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final int MAX_LENGTH_DIGITS = 18;

    /**
     * Parses the received bytes, whose position and limit are left as they are.
     *
     * @return null if the head is incomplete
     */
    static @Nullable UnreadHead parse(ByteBuffer received) {
        String authorization = null;
        long bodyBytes = 0;
        boolean lengthStated = false;
        int lineStart = received.position();
        for (int i = lineStart; i < received.limit(); i++) {
            if (received.get(i) != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && received.get(i - 1) == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                return new UnreadHead(authorization, i + 1 - received.position(), bodyBytes);
            }
            if (isHeader(received, lineStart, lineEnd, AUTHORIZATION)) {
                authorization = value(received, lineStart, lineEnd, AUTHORIZATION);
            } else if (isHeader(received, lineStart, lineEnd, CONTENT_LENGTH)) {
                bodyBytes = lengthStated ? UNKNOWN : number(value(received, lineStart, lineEnd, CONTENT_LENGTH));
                lengthStated = true;
            } else if (isHeader(received, lineStart, lineEnd, TRANSFER_ENCODING)) {
                bodyBytes = UNKNOWN;
                lengthStated = true;
            }
            lineStart = i + 1;
        }
        return null;
    }

    private static boolean isHeader(ByteBuffer received, int start, int end, String name) {
        int colon = start + name.length();
        if (colon >= end || received.get(colon) != ':') {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (Character.toLowerCase((char) received.get(start + i)) != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static String value(ByteBuffer received, int start, int end, String name) {
        int from = start + name.length() + 1;
        byte[] bytes = new byte[end - from];
        received.get(from, bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1).trim();
    }

    private static long number(String value) {
        boolean isNumber = !value.isEmpty()
                && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return isNumber ? Long.parseLong(value) : UNKNOWN;
    }
}
