package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.error.Failure;

/** Result of an attempt with a key whose home is this instance. */
sealed interface KeyAdmission {
    /** This attempt starts the request. */
    record Started(KeyedResponse response) implements KeyAdmission {}

    /** An earlier attempt started the request; its response must be read from the first byte. */
    record Found(KeyedResponse response) implements KeyAdmission {}

    record Refused(Failure failure) implements KeyAdmission {}
}
