/** Formatting and queueing of the daemon's log lines. */
@NullMarked
package org.marjoramswitch.daemon.log;

import org.jspecify.annotations.NullMarked;
