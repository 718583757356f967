/** Which request goes to which target and when: one arbiter for each cell that sees every request of the cell. */
@NullMarked
package org.marjoramswitch.kernel.placement;

import org.jspecify.annotations.NullMarked;
