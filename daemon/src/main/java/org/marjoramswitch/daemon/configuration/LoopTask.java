package org.marjoramswitch.daemon.configuration;

/** A task for the loop's thread; receives the time at which it runs. */
@FunctionalInterface
interface LoopTask {
    void run(long nowMs);
}
