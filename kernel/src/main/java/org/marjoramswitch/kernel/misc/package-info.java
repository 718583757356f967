/** Hashing utilities. */
@NullMarked
package org.marjoramswitch.kernel.misc;

import org.jspecify.annotations.NullMarked;
