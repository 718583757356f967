/** The event loop that runs the failure detector over UDP. */
@NullMarked
package org.marjoramswitch.daemon.membership;

import org.jspecify.annotations.NullMarked;
