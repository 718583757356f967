/** Who of the instances watches the platform's key-value service, and how the others hear of what changes there. */
@NullMarked
package org.marjoramswitch.kernel.watch;

import org.jspecify.annotations.NullMarked;
