package org.marjoramswitch.daemon.target;

import java.util.Set;
import org.marjoramswitch.daemon.exchange.TargetCall;

/** Determines which events a protocol allows in the response to a call. */
@FunctionalInterface
public interface EventRule {
    /** A check for the response to this call. */
    EventCheck begin(TargetCall call);

    /** Allows any event. */
    static EventRule any() {
        return call -> EventCheck.NONE;
    }

    /** Events of a model engine's stream: one JSON object each, and an end mark after which only comments may follow. */
    static EventRule chatChunks() {
        return call -> ChatChunks.begin();
    }

    /**
     * Events with data and one id each, which count by one from 1, or from the id after the one in the call.
     *
     * @param positionHeader header of a call that names the id after which its response begins; in lower case
     * @param numberFields further fields that an event may have, each with a number
     */
    static EventRule consecutiveIds(String positionHeader, Set<String> numberFields) {
        return call -> ConsecutiveIds.after(call.headers().get(positionHeader), numberFields);
    }
}
