/** Selects the instances whose addresses callers are given. */
@NullMarked
package org.marjoramswitch.kernel.addresses;

import org.jspecify.annotations.NullMarked;
