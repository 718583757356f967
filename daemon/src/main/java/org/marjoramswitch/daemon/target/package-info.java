/** HTTP client for targets: pooled connections, deadlines, attempt outcomes and load reports. */
@NullMarked
package org.marjoramswitch.daemon.target;

import org.jspecify.annotations.NullMarked;
