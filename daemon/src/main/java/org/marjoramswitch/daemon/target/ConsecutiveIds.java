package org.marjoramswitch.daemon.target;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Checks that each event has data and one id, and that the ids count by one. Comments and empty lines between events are
 * allowed.
 *
 * <p>An id is what a stream continues after at another target, so one that is not due would make its caller miss events or
 * receive them twice.
 */
final class ConsecutiveIds implements EventCheck {
    private static final String ID = "id";
    private static final String DATA = "data";
    private static final String EVENT = "event";
    private static final String RETRY = "retry";
    private static final long UNKNOWN = -1;
    /** Digits of the largest number that always fits into a long. */
    private static final int MAX_DIGITS = 18;

    private final Set<String> numberFields;
    private long last;
    private boolean anyEvent;

    // The current event.
    private boolean begun;
    private long id = UNKNOWN;
    private boolean data;

    private ConsecutiveIds(long last, Set<String> numberFields) {
        this.last = last;
        this.numberFields = numberFields;
    }

    /** @param position the id after which the response begins; null for its beginning. With any other text the first id is free. */
    static ConsecutiveIds after(@Nullable String position, Set<String> numberFields) {
        return new ConsecutiveIds(position == null ? 0 : number(position), numberFields);
    }

    @Override
    public EventFault line(String line, boolean truncated) {
        int colon = line.indexOf(':');
        if (colon == 0) {
            return EventFault.NONE;
        }
        String field = colon < 0 ? line : line.substring(0, colon);
        begun |= !field.equals(RETRY);
        return switch (field) {
            case ID -> id(value(line, colon));
            case DATA -> {
                data = true;
                yield EventFault.NONE;
            }
            case EVENT -> EventFault.NONE;
            case RETRY -> numberField(value(line, colon));
            default -> numberFields.contains(field) ? numberField(value(line, colon)) : EventFault.UNKNOWN_FIELD;
        };
    }

    @Override
    public EventFault end() {
        if (!begun) {
            return EventFault.NONE;
        }
        if (id == UNKNOWN) {
            return EventFault.NO_ID;
        }
        if (!data) {
            return EventFault.NO_DATA;
        }
        last = id;
        anyEvent = true;
        discardIncomplete();
        return EventFault.NONE;
    }

    @Override
    public boolean allowsPart(String lineSoFar) {
        boolean dataBegun = lineSoFar.isEmpty() ? data : lineSoFar.startsWith(DATA + ':');
        return id != UNKNOWN && dataBegun;
    }

    @Override
    public void discardIncomplete() {
        begun = false;
        id = UNKNOWN;
        data = false;
    }

    @Override
    public String lastEventId() {
        return anyEvent ? Long.toString(last) : "";
    }

    private EventFault id(String value) {
        if (id != UNKNOWN) {
            return EventFault.SEVERAL_IDS;
        }
        long number = number(value);
        if (number == UNKNOWN) {
            return EventFault.NOT_A_NUMBER;
        }
        if (last != UNKNOWN && number != last + 1) {
            return EventFault.OUT_OF_ORDER;
        }
        id = number;
        return EventFault.NONE;
    }

    private static EventFault numberField(String value) {
        return number(value) == UNKNOWN ? EventFault.NOT_A_NUMBER : EventFault.NONE;
    }

    private static String value(String line, int colon) {
        if (colon < 0) {
            return "";
        }
        return line.startsWith(" ", colon + 1) ? line.substring(colon + 2) : line.substring(colon + 1);
    }

    /** The number, without a sign or leading zeros; {@link #UNKNOWN} for any other text. */
    private static long number(String text) {
        boolean padded = text.length() > 1 && text.charAt(0) == '0';
        boolean digits = !text.isEmpty() && text.chars().allMatch(next -> next >= '0' && next <= '9');
        return digits && !padded && text.length() <= MAX_DIGITS ? Long.parseLong(text) : UNKNOWN;
    }
}
