package org.marjoramswitch.daemon.caller;

import java.util.Map;

/** Status and headers of a response; only the headers that are forwarded to the caller. */
record ResponseHead(int status, Map<String, String> headers) {}
