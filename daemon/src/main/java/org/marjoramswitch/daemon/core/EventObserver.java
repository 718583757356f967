package org.marjoramswitch.daemon.core;

import org.marjoramswitch.kernel.event.Event;

/** Observes each event before its decision. Called on the decision thread; must not block for long. */
@FunctionalInterface
public interface EventObserver {
    EventObserver NONE = (event, nowMs) -> {};

    void onEvent(Event event, long nowMs);
}
