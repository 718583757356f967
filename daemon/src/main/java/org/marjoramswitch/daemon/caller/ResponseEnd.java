package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.error.Failure;

/** How a response ended. */
sealed interface ResponseEnd {
    /** The complete response was received. */
    record Complete() implements ResponseEnd {}

    /** There was no response, or it was interrupted. */
    record Failed(Failure failure) implements ResponseEnd {}
}
