package org.marjoramswitch.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramswitch.daemon.log.KeyValueLog;

/** The started parts of an instance, closed in the reverse order of their start. */
final class Parts implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(Parts.class);

    private final Deque<AutoCloseable> started = new ArrayDeque<>();

    /** Starts an instance; what has started by then is closed where it cannot. */
    static <T> T start(Start<T> start) {
        Parts parts = new Parts();
        try {
            return start.with(parts);
        } catch (IOException fault) {
            parts.close();
            throw new UncheckedIOException(fault);
        } catch (RuntimeException fault) {
            parts.close();
            throw fault;
        }
    }

    /** Starts an instance of these parts. */
    @FunctionalInterface
    interface Start<T> {
        T with(Parts parts) throws IOException;
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
