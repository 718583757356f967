/**
 * Grants the slots of a cell's targets by counts of waiting requests. Requests with a {@link
 * org.marjoramswitch.kernel.model.PlacementSpec} are placed by package {@code placement} instead.
 */
@NullMarked
package org.marjoramswitch.kernel.arbiter;

import org.jspecify.annotations.NullMarked;
