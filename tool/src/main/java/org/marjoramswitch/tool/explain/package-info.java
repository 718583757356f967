/** Explains from the instances' logs why a request was sent to its target or rejected. */
@NullMarked
package org.marjoramswitch.tool.explain;

import org.jspecify.annotations.NullMarked;
