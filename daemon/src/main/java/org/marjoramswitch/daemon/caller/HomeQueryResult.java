package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.daemon.settings.HostPort;

/** What was found out of a key that another instance is home to. */
sealed interface HomeQueryResult {
    /** The home instance knows the request; a caller finds it there. */
    record Lives(HostPort address) implements HomeQueryResult {}

    /** The request did not run and never will. */
    record NotRun() implements HomeQueryResult {}

    /**
     * It cannot be told.
     *
     * @param retryAfterMs when it may be known, 0 where never
     */
    record Unknown(long retryAfterMs) implements HomeQueryResult {}
}
