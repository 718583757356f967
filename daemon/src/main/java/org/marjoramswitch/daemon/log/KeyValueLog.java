package org.marjoramswitch.daemon.log;

import java.util.Map;
import org.jboss.logging.Logger;

/**
 * Logs one line of key=value pairs per event, starting with {@code event=}. Values that are empty or contain white
 * space, quotes, backslashes, equals signs or control characters are quoted, so that a line can be parsed without
 * knowing its event.
 */
public final class KeyValueLog {
    private static final char DELETE = 127;

    private final Logger logger;

    private KeyValueLog(Logger logger) {
        this.logger = logger;
    }

    public static KeyValueLog of(Class<?> source) {
        return new KeyValueLog(Logger.getLogger(source));
    }

    /** @param keyValues alternating keys (strings) and values */
    public void info(String event, Object... keyValues) {
        log(Logger.Level.INFO, event, keyValues);
    }

    public void warn(String event, Object... keyValues) {
        log(Logger.Level.WARN, event, keyValues);
    }

    public void error(String event, Object... keyValues) {
        log(Logger.Level.ERROR, event, keyValues);
    }

    /** Logs an error line followed by the stack trace of its cause. */
    public void error(Throwable cause, String event, Object... keyValues) {
        logger.error(line(event, keyValues), cause);
    }

    public void debug(String event, Object... keyValues) {
        log(Logger.Level.DEBUG, event, keyValues);
    }

    /** Logs the fields in the iteration order of the map. */
    public void info(String event, Map<String, Object> fields) {
        if (!logger.isInfoEnabled()) {
            return;
        }
        StringBuilder line = new StringBuilder("event=").append(event);
        fields.forEach((key, value) -> append(line, key, value));
        logger.info(line);
    }

    private void log(Logger.Level level, String event, Object... keyValues) {
        if (logger.isEnabled(level)) {
            logger.log(level, line(event, keyValues));
        }
    }

    /** Formats the line of an event. */
    public static String line(String event, Object... keyValues) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < keyValues.length; i += 2) {
            append(line, (String) keyValues[i], keyValues[i + 1]);
        }
        return line.toString();
    }

    private static void append(StringBuilder line, String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(line, String.valueOf(value));
    }

    private static void appendValue(StringBuilder line, String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(c -> appendEscaped(line, (char) c));
        line.append('"');
    }

    private static boolean isPlain(String value) {
        // A loop, as a stream of the characters takes most of the time of a line; an instance logs several lines for
        // each request.
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == DELETE) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static void appendEscaped(StringBuilder line, char c) {
        switch (c) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> line.append(c < ' ' || c == DELETE ? String.format("\\u%04x", (int) c) : String.valueOf(c));
        }
    }
}
