/**
 * Placement of requests that have a {@link org.marjoramswitch.kernel.model.PlacementSpec}: one arbiter per cell
 * receives all of the cell's requests and decides their targets and start times.
 */
@NullMarked
package org.marjoramswitch.kernel.placement;

import org.jspecify.annotations.NullMarked;
