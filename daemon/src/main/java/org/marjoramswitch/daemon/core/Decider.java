package org.marjoramswitch.daemon.core;

import java.util.List;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;

/** What decides: the kernel, or a script in a test. */
@FunctionalInterface
public interface Decider {
    /** The actions that follow from an event, in order; {@code nowMs} never goes back. */
    List<Action> apply(Event event, long nowMs);

    /** How long what is decided may go without being told the time, after the last event. */
    default long tickMs() {
        return InstanceKernel.BUSY_TICK_MS;
    }
}
