/** Serialization of recorded events, from which the kernel's decisions can be replayed. */
@NullMarked
package org.marjoramswitch.kernel.replay;

import org.jspecify.annotations.NullMarked;
