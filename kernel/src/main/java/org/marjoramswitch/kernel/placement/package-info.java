/**
 * Placement of requests: one arbiter per cell receives all requests of the cell and decides their targets and start
 * times.
 */
@NullMarked
package org.marjoramswitch.kernel.placement;

import org.jspecify.annotations.NullMarked;
