package org.marjoramswitch.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramswitch.daemon.log.KeyValueLog;

/** The started components of an instance, closed in the reverse order of their start. */
final class StartedComponents implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(StartedComponents.class);

    private final Deque<AutoCloseable> started = new ArrayDeque<>();

    /** Starts an instance; what has started by then is closed where it cannot. */
    static <T> T start(Start<T> start) {
        StartedComponents components = new StartedComponents();
        try {
            return start.with(components);
        } catch (IOException fault) {
            components.close();
            throw new UncheckedIOException(fault);
        } catch (RuntimeException fault) {
            components.close();
            throw fault;
        }
    }

    /** Starts an instance of these components. */
    @FunctionalInterface
    interface Start<T> {
        T with(StartedComponents components) throws IOException;
    }

    <T extends AutoCloseable> T add(T part) {
        started.push(part);
        return part;
    }

    <T> T add(T part, AutoCloseable close) {
        started.push(close);
        return part;
    }

    /** One part that fails to close does not keep the others open. */
    @Override
    public void close() {
        while (!started.isEmpty()) {
            try {
                started.pop().close();
            } catch (Exception fault) {
                LOG.error(fault, "close_failed");
            }
        }
    }
}
