/** Handles the requests of an instance's own callers, from arrival to end. */
@NullMarked
package org.marjoramswitch.kernel.entry;

import org.jspecify.annotations.NullMarked;
