package org.marjoramswitch.testkit.engine;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Runs the engine's step thread. All access to the batch is executed on this thread, between steps. */
final class EngineLoop {
    private static final double NANOS_PER_MS = 1_000_000;

    private final Thread thread;
    private final StepListener listener;
    private final long stepNanos;
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;

    private EngineLoop(String name, long stepMs, StepListener listener) {
        this.listener = listener;
        this.stepNanos = TimeUnit.MILLISECONDS.toNanos(stepMs);
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    static EngineLoop of(String name, long stepMs, StepListener listener) {
        return new EngineLoop(name, stepMs, listener);
    }

    void start() {
        thread.start();
    }

    void execute(Runnable command) {
        commands.add(command);
    }

    void stop() {
        stopped = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        long lastNanos = System.nanoTime();
        while (!stopped) {
            long waitNanos = lastNanos + stepNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
                continue;
            }
            long nowNanos = System.nanoTime();
            runCommands();
            listener.onStep((nowNanos - lastNanos) / NANOS_PER_MS);
            lastNanos = nowNanos;
        }
    }

    private void runCommands() {
        Runnable command = commands.poll();
        while (command != null) {
            command.run();
            command = commands.poll();
        }
    }

    /** Executes a step of the engine, {@code ms} after the previous one. */
    interface StepListener {
        void onStep(double ms);
    }
}
