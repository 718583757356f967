/**
 * Caller-facing HTTP server. {@code CallHandler} or {@code ForwardHandler} reads a complete request and passes it to
 * the {@link org.marjoramswitch.daemon.exchange.RequestSubmitter}. The response passes through a {@code ResponseBuffer}
 * to the {@code ResponseWriter} of each caller that reads it.
 */
@NullMarked
package org.marjoramswitch.daemon.caller;

import org.jspecify.annotations.NullMarked;
