package org.marjoramswitch.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramswitch.daemon.log.KeyValueLog;

/** Collects the started components of an instance and closes them in the reverse order of their start. */
final class StartedComponents implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(StartedComponents.class);

    private final Deque<AutoCloseable> started = new ArrayDeque<>();

    /** Starts an instance; if that fails, closes the components started so far. */
    static <T> T start(Start<T> start) {
        StartedComponents components = new StartedComponents();
        try {
            return start.startWith(components);
        } catch (IOException fault) {
            components.close();
            throw new UncheckedIOException(fault);
        } catch (RuntimeException fault) {
            components.close();
            throw fault;
        }
    }

    /** Starts an instance and adds its components. */
    @FunctionalInterface
    interface Start<T> {
        T startWith(StartedComponents components) throws IOException;
    }

    <T extends AutoCloseable> T add(T component) {
        started.push(component);
        return component;
    }

    <T> T add(T component, AutoCloseable close) {
        started.push(close);
        return component;
    }

    /** Closes all components, even if closing one of them fails. */
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
