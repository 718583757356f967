package org.marjoramswitch.daemon;

import java.util.concurrent.CompletableFuture;

/** An instance from its start to its end, as its process drives it. */
public interface RunningInstance extends AutoCloseable {
    /** Begins the graceful shutdown; {@link #drained} tells its end. */
    void drain();

    /** True once a graceful shutdown has cut no request, and false where its deadline or another end came first. */
    CompletableFuture<Boolean> drained();

    /** Ends a graceful shutdown where it stands. */
    void abortDrain();

    /** The file with the instance's own settings may have changed; nothing that runs is cut by it. */
    void reload();

    /** Ends the instance at once; requests still open fail towards their callers. */
    @Override
    void close();
}
