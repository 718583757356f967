/** Instances and targets of the fleet as known to an instance. */
@NullMarked
package org.marjoramswitch.daemon.fleet;

import org.jspecify.annotations.NullMarked;
