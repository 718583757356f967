package org.marjoramswitch.daemon.core;

import org.marjoramswitch.kernel.event.Event;

/** Accepts events for the decision loop. */
@FunctionalInterface
public interface EventSink {
    /** Never blocks; returns false, and counts it, if the event was refused. */
    boolean offer(Event event);
}
