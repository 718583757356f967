package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.error.Failure;

/** How an answer ended. */
sealed interface ResponseEnd {
    /** The target's whole answer was passed on. */
    record Complete() implements ResponseEnd {}

    /** There was no answer, or it broke off. */
    record Failed(Failure failure) implements ResponseEnd {}
}
