package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.daemon.settings.HostPort;

/** Result of a query of a key whose home is another instance. */
sealed interface HomeQueryResult {
    /** The home instance has the request; the caller can retrieve it from this address. */
    record AtHome(HostPort address) implements HomeQueryResult {}

    /** The request did not run and never will. */
    record NotRun() implements HomeQueryResult {}

    /**
     * The state of the request cannot be determined.
     *
     * @param retryAfterMs after which it may be known; 0 if it never will be
     */
    record Unknown(long retryAfterMs) implements HomeQueryResult {}
}
