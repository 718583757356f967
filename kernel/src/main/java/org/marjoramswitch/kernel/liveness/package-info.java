/** Detection of silent peers. */
@NullMarked
package org.marjoramswitch.kernel.liveness;

import org.jspecify.annotations.NullMarked;
