package org.marjoramswitch.tool.explain;

import java.util.LinkedHashMap;
import java.util.Map;

/** A log line of key=value pairs in the format of {@link org.marjoramswitch.daemon.log.KeyValueLog}. */
public record LogLine(String source, Map<String, String> fields) {

    /** Parses a line; ignores text that is not part of a pair. */
    public static LogLine parse(String source, String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        int at = 0;
        while (at < text.length()) {
            int equals = text.indexOf('=', at);
            if (equals < 0) {
                break;
            }
            String key = text.substring(text.lastIndexOf(' ', equals) + 1, equals);
            StringBuilder value = new StringBuilder();
            at = readValue(text, equals + 1, value);
            fields.putIfAbsent(key, value.toString());
        }
        return new LogLine(source, fields);
    }

    /** Returns the value of the key; empty if the line does not contain it. */
    public String get(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns the number of the request that the line is about; empty if there is none. */
    public String request() {
        return fields.containsKey("request") ? get("request") : get("requestId");
    }

    private static int readValue(String text, int from, StringBuilder value) {
        if (from >= text.length() || text.charAt(from) != '"') {
            int space = text.indexOf(' ', from);
            int end = space < 0 ? text.length() : space;
            value.append(text, from, end);
            return end;
        }
        int at = from + 1;
        while (at < text.length() && text.charAt(at) != '"') {
            boolean escaped = text.charAt(at) == '\\' && at + 1 < text.length();
            value.append(escaped ? unescape(text.charAt(at + 1)) : text.charAt(at));
            at += escaped ? 2 : 1;
        }
        return Math.min(text.length(), at + 1);
    }

    private static char unescape(char escape) {
        return switch (escape) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            default -> escape;
        };
    }
}
