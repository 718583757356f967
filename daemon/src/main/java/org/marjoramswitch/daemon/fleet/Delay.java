package org.marjoramswitch.daemon.fleet;

/** Runs a task after a delay; the task is dropped if the instance has stopped by then. */
@FunctionalInterface
public interface Delay {
    void after(long delayMs, Runnable task);
}
