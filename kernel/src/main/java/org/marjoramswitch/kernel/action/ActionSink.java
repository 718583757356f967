package org.marjoramswitch.kernel.action;

/** Receives the actions of a decision, in order. */
@FunctionalInterface
public interface ActionSink {
    void accept(Action action);
}
