package org.marjoramswitch.daemon;

import java.util.concurrent.CompletableFuture;

/** What all assemblies of an instance do alike: end. */
abstract class BaseInstance implements RunningInstance {
    /** What the assembly's own duties are joined to. */
    abstract InstanceCore core();

    @Override
    public CompletableFuture<Boolean> drained() {
        return core().drainState().whole();
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
