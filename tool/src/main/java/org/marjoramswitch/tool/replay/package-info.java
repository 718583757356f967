/** Replays the recorded kernel events of an instance. */
@NullMarked
package org.marjoramswitch.tool.replay;

import org.jspecify.annotations.NullMarked;
