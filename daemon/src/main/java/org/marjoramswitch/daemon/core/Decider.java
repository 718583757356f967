package org.marjoramswitch.daemon.core;

import java.util.List;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;

/** Decides on events: the kernel, or a script in a test. */
@FunctionalInterface
public interface Decider {
    /** Returns the actions for an event, in order; {@code nowMs} never decreases. */
    List<Action> apply(Event event, long nowMs);

    /** Maximum time between two ticks, for the state after the last event. */
    default long tickMs() {
        return InstanceKernel.BUSY_TICK_MS;
    }
}
