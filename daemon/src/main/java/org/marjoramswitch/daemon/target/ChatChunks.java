package org.marjoramswitch.daemon.target;

import org.jspecify.annotations.Nullable;

/**
 * Checks that each event of a model engine's stream has at most one data field, with a JSON object or the end mark, and that
 * only comments follow the end mark. Fields that server-sent events name are allowed beside the data, and without it.
 *
 * <p>A chunk counts for the position from which a stream is resumed and may report what its customer is charged, so data that
 * is no chunk would make the caller miss chunks or pay for them twice.
 *
 * <p>To keep the cost of a sound event small, only the first and the last character of an object are examined, and only the
 * first one if the line is truncated. The scanner parses the objects that may report usage.
 */
final class ChatChunks implements EventCheck {
    static final String END_MARK = "[DONE]";

    private static final String DATA = "data";

    private boolean ended;

    // The current event.
    private boolean comment;
    private boolean data;
    private boolean endMark;

    private ChatChunks() {}

    static ChatChunks begin() {
        return new ChatChunks();
    }

    @Override
    public EventFault line(String line, boolean truncated) {
        int colon = line.indexOf(':');
        if (colon == 0) {
            comment = true;
            return EventFault.NONE;
        }
        if (ended) {
            return EventFault.AFTER_END;
        }
        return switch (colon < 0 ? line : line.substring(0, colon)) {
            case DATA -> data(colon < 0 ? "" : line.substring(colon + 1).strip(), truncated);
            case "event", "id", "retry" -> EventFault.NONE;
            default -> EventFault.UNKNOWN_FIELD;
        };
    }

    @Override
    public EventFault end() {
        ended |= endMark;
        discardIncomplete();
        return EventFault.NONE;
    }

    @Override
    public boolean allowsPart(String lineSoFar) {
        if (lineSoFar.startsWith(":")) {
            return true;
        }
        if (lineSoFar.isEmpty()) {
            return data || comment;
        }
        String dataSoFar = dataOf(lineSoFar);
        return dataSoFar == null ? data : !ended && !data && dataSoFar.startsWith("{");
    }

    @Override
    public void discardIncomplete() {
        comment = false;
        data = false;
        endMark = false;
    }

    private EventFault data(String value, boolean truncated) {
        if (data) {
            return EventFault.SEVERAL_DATA;
        }
        data = true;
        endMark = value.equals(END_MARK);
        boolean object = value.startsWith("{") && (truncated || (value.length() > 1 && value.endsWith("}")));
        return endMark || object ? EventFault.NONE : EventFault.NOT_AN_OBJECT;
    }

    private static @Nullable String dataOf(String line) {
        return line.startsWith(DATA + ':') ? line.substring(DATA.length() + 1).strip() : null;
    }
}
