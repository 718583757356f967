/** Requests that end the targets that run them: what is known of them, and how instances tell one another. */
@NullMarked
package org.marjoramswitch.kernel.crash;

import org.jspecify.annotations.NullMarked;
