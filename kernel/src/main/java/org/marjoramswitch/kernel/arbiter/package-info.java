/** Grants the slots of a cell's targets. */
@NullMarked
package org.marjoramswitch.kernel.arbiter;

import org.jspecify.annotations.NullMarked;
