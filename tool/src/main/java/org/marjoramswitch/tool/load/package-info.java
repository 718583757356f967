/** Load generator: sends a bounded load that a scenario describes and reports the outcome of every request. */
@NullMarked
package org.marjoramswitch.tool.load;

import org.jspecify.annotations.NullMarked;
