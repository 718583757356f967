/** Selects the instances that watch the platform's key-value store and forwards changes to the others. */
@NullMarked
package org.marjoramswitch.kernel.watch;

import org.jspecify.annotations.NullMarked;
