/** Typed records of the fleet's accepted settings. */
@NullMarked
package org.marjoramswitch.kernel.settings;

import org.jspecify.annotations.NullMarked;
