package org.marjoramswitch.daemon;

import java.util.concurrent.CompletableFuture;

/** Implements the shutdown methods shared by all kinds of instances. */
abstract class BaseInstance implements RunningInstance {
    /** The core that the components of the instance are connected to. */
    abstract InstanceCore core();

    @Override
    public CompletableFuture<Boolean> drained() {
        return core().drainState().result();
    }

    @Override
    public void abortDrain() {
        core().drainState().close();
    }

    @Override
    public void close() {
        core().close();
    }
}
