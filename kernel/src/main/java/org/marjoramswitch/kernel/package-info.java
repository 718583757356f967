/** Routing decisions as pure functions from events and their times to actions, without I/O or threads. */
@NullMarked
package org.marjoramswitch.kernel;

import org.jspecify.annotations.NullMarked;
