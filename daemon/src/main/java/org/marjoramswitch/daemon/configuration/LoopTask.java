package org.marjoramswitch.daemon.configuration;

/** Something for the duty's thread to do, told the time when it comes to it. */
@FunctionalInterface
interface LoopTask {
    void run(long nowMs);
}
