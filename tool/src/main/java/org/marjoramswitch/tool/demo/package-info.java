/** The demo: a complete fleet with its platform, targets and callers in one process, and a summary of the results. */
@NullMarked
package org.marjoramswitch.tool.demo;

import org.jspecify.annotations.NullMarked;
