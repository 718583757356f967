/** Interfaces between the caller-facing server, the decision loop and the target clients. */
@NullMarked
package org.marjoramswitch.daemon.exchange;

import org.jspecify.annotations.NullMarked;
