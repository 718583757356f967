/**
 * Where callers connect: the HTTP server, its refusals, and the way of an answer back to its caller. A request is read
 * whole by {@code CallHandler}, handed to the {@link org.marjoramswitch.daemon.exchange.RequestSubmitter}, and its answer
 * goes through an {@code ResponseBuffer} to the {@code ResponseWriter} of each caller that follows it.
 */
@NullMarked
package org.marjoramswitch.daemon.caller;

import org.jspecify.annotations.NullMarked;
