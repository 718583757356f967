package org.marjoramswitch.daemon.log;

import java.util.Map;
import org.jboss.logging.Logger;

/**
 * Logs one line of key=value pairs per event, starting with {@code event=}. Values that are empty or contain white
 * space, quotes, backslashes, equals signs or control characters are quoted, so that a line can be parsed without
 * knowing its event.
 */
public final class KeyValueLog {
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
        return !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127);
    }

    private static void appendEscaped(StringBuilder line, char c) {
        switch (c) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> line.append(c < ' ' || c == 127 ? String.format("\\u%04x", (int) c) : String.valueOf(c));
        }
    }
}
