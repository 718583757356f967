package org.marjoramswitch.daemon.configuration;

/** The way to the duty's thread. */
@FunctionalInterface
interface LoopInbox {
    /** Takes a task unless the ring is full, which is counted; never blocks. */
    boolean offer(LoopTask task);
}
