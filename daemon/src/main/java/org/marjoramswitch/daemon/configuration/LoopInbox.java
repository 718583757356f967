package org.marjoramswitch.daemon.configuration;

/** Queue of tasks for the loop's thread. */
@FunctionalInterface
interface LoopInbox {
    /** Adds a task; returns false and counts it if the ring is full. Never blocks. */
    boolean offer(LoopTask task);
}
