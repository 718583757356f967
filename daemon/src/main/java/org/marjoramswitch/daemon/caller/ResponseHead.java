package org.marjoramswitch.daemon.caller;

import java.util.Map;

/** The head of an answer, with only those headers that go on to the caller. */
record ResponseHead(int status, Map<String, String> headers) {}
