package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.error.Failure;

/** What a try with a key of this home has got. */
sealed interface KeyAdmission {
    /** The request is this try's to run. */
    record Started(KeyedResponse answer) implements KeyAdmission {}

    /** An earlier try began it; its answer is to be followed from its first byte. */
    record Found(KeyedResponse answer) implements KeyAdmission {}

    record Refused(Failure failure) implements KeyAdmission {}
}
