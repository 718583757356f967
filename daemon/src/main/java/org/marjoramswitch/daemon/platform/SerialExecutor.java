package org.marjoramswitch.daemon.platform;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.error.ErrorType;

/** Executor that runs tasks sequentially, in submission order, on threads of another executor. */
final class SerialExecutor implements Executor {
    private static final KeyValueLog LOG = KeyValueLog.of(SerialExecutor.class);

    private final Executor executor;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean running;

    private SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    static SerialExecutor over(Executor executor) {
        return new SerialExecutor(executor);
    }

    @Override
    public synchronized void execute(Runnable task) {
        waiting.add(task);
        if (running) {
            return;
        }
        running = true;
        executor.execute(this::drain);
    }

    private void drain() {
        for (Runnable task = next(); task != null; task = next()) {
            runSafely(task);
        }
    }

    /**
     * Logs what a task throws; otherwise the tasks after it would never run, and a watch would lose its later events.
     */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException fault) {
            LOG.error(fault, "platform_listener_failed", "error", ErrorType.INTERNAL.number());
        }
    }

    private synchronized @Nullable Runnable next() {
        Runnable task = waiting.poll();
        running = task != null;
        return task;
    }
}
