package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.model.CustomerId;

/** The answer of a request with a key, shared by all tries. */
record KeyedResponse(long requestId, CustomerId customer, boolean repeatable, ResponseBuffer buffer) {}
