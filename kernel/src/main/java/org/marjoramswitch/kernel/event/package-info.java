/** Inputs of the kernel. */
@NullMarked
package org.marjoramswitch.kernel.event;

import org.jspecify.annotations.NullMarked;
