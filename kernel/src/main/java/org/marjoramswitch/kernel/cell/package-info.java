/** Assigns targets to cells and arbiters to cells. */
@NullMarked
package org.marjoramswitch.kernel.cell;

import org.jspecify.annotations.NullMarked;
