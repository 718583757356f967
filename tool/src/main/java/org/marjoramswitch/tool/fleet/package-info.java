/** Status of the fleet: the platform's lists, the status that each instance reports, and the settings in force. */
@NullMarked
package org.marjoramswitch.tool.fleet;

import org.jspecify.annotations.NullMarked;
