package org.marjoramswitch.kernel.replay;

import org.marjoramswitch.kernel.event.Event;

/** An event and the time at which the kernel applied it. */
public record RecordedEvent(long atMs, Event event) {}
