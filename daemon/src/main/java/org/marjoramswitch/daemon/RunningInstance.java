package org.marjoramswitch.daemon;

import java.util.concurrent.CompletableFuture;

/** A started instance, as controlled by its process. */
public interface RunningInstance extends AutoCloseable {
    /** Begins the graceful shutdown; {@link #drained} completes when it ends. */
    void drain();

    /** Completes with true if a graceful shutdown let all requests finish; false if a deadline or abort came first. */
    CompletableFuture<Boolean> drained();

    /** Ends a graceful shutdown immediately, with requests still open. */
    void abortDrain();

    /** Called when the file with the local settings may have changed; does not interrupt open requests. */
    void reload();

    /** Stops the instance immediately; open requests fail for their callers. */
    @Override
    void close();
}
