package org.marjoramswitch.daemon.core;

import java.util.List;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;

/** Runs the kernel in the decision loop and publishes its status to other threads at most every 50 ms. */
public final class KernelDriver implements Decider {
    private static final long STATUS_INTERVAL_MS = 50;

    private final InstanceKernel kernel;
    private volatile KernelStatus status = KernelStatus.NONE;
    private long statusDueMs = Long.MIN_VALUE;

    private KernelDriver(InstanceKernel kernel) {
        this.kernel = kernel;
    }

    public static KernelDriver of(InstanceKernel kernel) {
        return new KernelDriver(kernel);
    }

    @Override
    public List<Action> apply(Event event, long nowMs) {
        List<Action> actions = kernel.apply(event, nowMs);
        if (nowMs >= statusDueMs) {
            statusDueMs = nowMs + STATUS_INTERVAL_MS;
            status = KernelStatus.of(kernel);
        }
        return actions;
    }

    @Override
    public long tickMs() {
        return kernel.tickMs();
    }

    /** Thread-safe. */
    public KernelStatus status() {
        return status;
    }
}
