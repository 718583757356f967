/** Detects requests and prompt parts that crash the targets that run them, and shares the reports between instances. */
@NullMarked
package org.marjoramswitch.kernel.crash;

import org.jspecify.annotations.NullMarked;
