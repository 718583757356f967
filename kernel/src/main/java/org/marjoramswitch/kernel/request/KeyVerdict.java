package org.marjoramswitch.kernel.request;

import org.marjoramswitch.kernel.error.Failure;

/** How to proceed with an attempt that presents a key. */
public sealed interface KeyVerdict {
    /** The request is new: run it. */
    record Start() implements KeyVerdict {}

    /** The request is already running: attach to its response. */
    record Attach(long requestId) implements KeyVerdict {}

    /** The request has ended and its response is kept: replay it. */
    record Replay(long requestId) implements KeyVerdict {}

    /** The attempt is rejected with this failure; nothing runs. */
    record Refused(Failure failure) implements KeyVerdict {}
}
