package org.marjoramswitch.daemon.caller;

/** Thrown for a request that cannot be parsed. The message tells the caller the location and the cause. */
final class MalformedCallException extends Exception {
    MalformedCallException(String message) {
        super(message);
    }
}
