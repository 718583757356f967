/** Detection of silent peers, and of peers that respond again in time. */
@NullMarked
package org.marjoramswitch.kernel.liveness;

import org.jspecify.annotations.NullMarked;
