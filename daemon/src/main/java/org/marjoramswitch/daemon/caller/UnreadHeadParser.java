package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Parses the head of a request that was read ahead, keeping only some headers, since an overloaded instance parses the heads of
 * more connections than it serves. Thread-safe.
 */
final class UnreadHeadParser {
    static final String HOST = "host";

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final int MAX_LENGTH_DIGITS = 18;

    private final String[] names;

    private UnreadHeadParser(Collection<String> names) {
        this.names = Stream.concat(Stream.of(UnreadHead.AUTHORIZATION, HOST), names.stream())
                .distinct()
                .toArray(String[]::new);
    }

    /** @param names lower-case names of the headers to keep, besides the host and the key */
    static UnreadHeadParser of(Collection<String> names) {
        return new UnreadHeadParser(names);
    }

    /**
     * Parses the received bytes, whose position and limit are left as they are.
     *
     * @return null if the head is incomplete
     */
    @Nullable
    UnreadHead parse(ByteBuffer received) {
        String requestUri = null;
        Map<String, String> headers = new HashMap<>();
        long bodyBytes = 0;
        boolean lengthStated = false;
        int lineStart = received.position();
        for (int i = lineStart; i < received.limit(); i++) {
            if (received.get(i) != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && received.get(i - 1) == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                String uri = requestUri == null ? "" : requestUri;
                return new UnreadHead(uri, headers, i + 1 - received.position(), bodyBytes);
            }
            if (requestUri == null) {
                requestUri = requestUri(received, lineStart, lineEnd);
            } else if (isHeader(received, lineStart, lineEnd, CONTENT_LENGTH)) {
                bodyBytes =
                        lengthStated ? UnreadHead.UNKNOWN : number(value(received, lineStart, lineEnd, CONTENT_LENGTH));
                lengthStated = true;
            } else if (isHeader(received, lineStart, lineEnd, TRANSFER_ENCODING)) {
                bodyBytes = UnreadHead.UNKNOWN;
                lengthStated = true;
            } else {
                String name = nameOf(received, lineStart, lineEnd);
                if (name != null) {
                    headers.putIfAbsent(name, value(received, lineStart, lineEnd, name));
                }
            }
            lineStart = i + 1;
        }
        return null;
    }

    /** The second word of the first line. */
    private static String requestUri(ByteBuffer received, int start, int end) {
        int first = indexOfSpace(received, start, end);
        int second = indexOfSpace(received, Math.min(end, first + 1), end);
        return text(received, Math.min(end, first + 1), second);
    }

    private static int indexOfSpace(ByteBuffer received, int start, int end) {
        int i = start;
        while (i < end && received.get(i) != ' ') {
            i++;
        }
        return i;
    }

    private @Nullable String nameOf(ByteBuffer received, int start, int end) {
        for (String name : names) {
            if (isHeader(received, start, end, name)) {
                return name;
            }
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
        return text(received, start + name.length() + 1, end).trim();
    }

    private static String text(ByteBuffer received, int from, int end) {
        byte[] bytes = new byte[end - from];
        received.get(from, bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static long number(String value) {
        boolean isNumber = !value.isEmpty()
                && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return isNumber ? Long.parseLong(value) : UnreadHead.UNKNOWN;
    }
}
