package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.model.CustomerId;

/** Response of a request with a key, shared by all its attempts. */
record KeyedResponse(long requestId, CustomerId customer, boolean repeatable, ResponseBuffer buffer) {}
