package org.marjoramswitch.daemon.target;

/**
 * Checks the events of one response, line by line. After a fault nothing more of its connection can be trusted; the check goes on,
 * if at all, with the remainder of the response from another connection, see {@link #discardIncomplete}.
 */
public interface EventCheck {
    /** Allows any event, and identifies none. */
    EventCheck NONE = new EventCheck() {
        @Override
        public EventFault line(String line, boolean truncated) {
            return EventFault.NONE;
        }

        @Override
        public EventFault end() {
            return EventFault.NONE;
        }

        @Override
        public boolean allowsPart(String lineSoFar) {
            return true;
        }
    };

    /**
     * Checks a line of the current event, which is not empty.
     *
     * @param truncated whether the line goes on after the part given
     */
    EventFault line(String line, boolean truncated);

    /** Checks the current event at its end. */
    EventFault end();

    /**
     * Whether a part of the current event may be passed on before it is complete.
     *
     * @param lineSoFar the beginning of its next line, which may be empty
     */
    boolean allowsPart(String lineSoFar);

    /** Drops the lines of an event that is not complete. */
    default void discardIncomplete() {}

    /** The id of the last complete event; empty if there is none. */
    default String lastEventId() {
        return "";
    }
}
