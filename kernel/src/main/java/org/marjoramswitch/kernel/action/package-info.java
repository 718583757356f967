/** Outputs of the kernel, which its caller carries out. */
@NullMarked
package org.marjoramswitch.kernel.action;

import org.jspecify.annotations.NullMarked;
