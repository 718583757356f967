/** Decides which requests an overloaded instance admits. */
@NullMarked
package org.marjoramswitch.kernel.admission;

import org.jspecify.annotations.NullMarked;
