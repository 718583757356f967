/** The error types and the failures reported to callers and logs. */
@NullMarked
package org.marjoramswitch.kernel.error;

import org.jspecify.annotations.NullMarked;
