import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** @param headers names are in lower case */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    /** Reads the next line; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            read.write(next);
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("within a line");
        }
        String line = read.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    /** Reads the next head, with an empty body; null if the input ends before it. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.merge(
                    next.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim(),
                    (one, two) -> one + ", " + two);
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads the next message with its body; null if the input ends before it. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        return head == null ? null : new Message(head.first, head.headers, body(in, head));
    }

    private static byte[] body(InputStream in, Message head) throws IOException {
        if (!head.header("transfer-encoding").equals("chunked")) {
            int length = head.header("content-length").isEmpty() ? 0 : Integer.parseInt(head.header("content-length"));
            return whole(in, length);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("between two chunks");
            }
            int length = Integer.parseInt(size.trim(), 16);
            if (length == 0) {
                line(in);
                return body.toByteArray();
            }
            body.write(whole(in, length));
            line(in);
        }
    }

    private static byte[] whole(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("within a body");
        }
        return bytes;
    }
}
